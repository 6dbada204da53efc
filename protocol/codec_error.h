#ifndef PROTOCOL_CODEC_ERROR_H_
#define PROTOCOL_CODEC_ERROR_H_

#include <string>
#include <string_view>

#include "core/core.h"

namespace gcw {

enum class CodecErrorKind {
  // Not JSON, or JSON in invalid UTF-8 or nested too deeply.
  kSyntax,
  kMissing,
  kWrongType,
  kOutOfRange,
  // A closed choice has no such name.
  kUnknownName,
  // No message belongs to this path or status.
  kUnknownMessage,
};

std::string_view CodecErrorKindName(CodecErrorKind kind);

// Why a message cannot be read.
struct CodecError {
  CodecErrorKind kind = CodecErrorKind::kSyntax;
  // The path to the field at fault, such as "members.vm"; empty where the
  // message as a whole is.
  std::string field;

  friend bool operator==(const CodecError&, const CodecError&) = default;
};

template <typename Message>
using Decoded = Result<Message, CodecError>;

}  // namespace gcw

#endif  // PROTOCOL_CODEC_ERROR_H_
