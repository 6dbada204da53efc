#ifndef PROTOCOL_CODEC_ERROR_H_
#define PROTOCOL_CODEC_ERROR_H_

#include <string>
#include <string_view>

#include "core/core.h"

namespace gcw {

enum class CodecErrorKind {
  // The text is not JSON, has invalid UTF-8 or is nested too deeply.
  kSyntax,
  kMissing,
  kWrongType,
  kOutOfRange,
  // An enum has no value of this name.
  kUnknownName,
  // No message is defined for this path or status.
  kUnknownMessage,
};

std::string_view CodecErrorKindName(CodecErrorKind kind);

// Why a message cannot be read.
struct CodecError {
  CodecErrorKind kind = CodecErrorKind::kSyntax;
  // The path to the invalid field, such as "members.vm". It is empty if the
  // message as a whole is invalid.
  std::string field;

  friend bool operator==(const CodecError&, const CodecError&) = default;
};

template <typename Message>
using Decoded = Result<Message, CodecError>;

}  // namespace gcw

#endif  // PROTOCOL_CODEC_ERROR_H_
