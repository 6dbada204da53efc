#include "protocol/codec_error.h"

namespace gcw {

std::string_view CodecErrorKindName(CodecErrorKind kind) {
  switch (kind) {
    case CodecErrorKind::kSyntax:
      return "syntax";
    case CodecErrorKind::kMissing:
      return "missing";
    case CodecErrorKind::kWrongType:
      return "wrong_type";
    case CodecErrorKind::kOutOfRange:
      return "out_of_range";
    case CodecErrorKind::kUnknownName:
      return "unknown_name";
    case CodecErrorKind::kUnknownMessage:
      return "unknown_message";
  }
  return "unknown";
}

}  // namespace gcw
