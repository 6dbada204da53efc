#ifndef PROTOCOL_REFERENCE_ANSWER_H_
#define PROTOCOL_REFERENCE_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/core.h"

namespace gcw {

// The text that the stand-in engine generates for a prompt. A load generator
// can compute it too, and so check that an answer is complete and belongs to
// its own request. An answer always has as many tokens as the request allows.

// Returns token `index`: "w<index>-<first 8 hexadecimal digits of the prompt's
// hash>", with a leading space unless it is the first token.
std::string ReferenceToken(std::string_view prompt, std::int64_t index);

// Same as above, for a known hash of the prompt.
std::string ReferenceToken(std::uint64_t prompt_hash, std::int64_t index);

// Returns the concatenated tokens from 0 to `tokens` - 1.
std::string ReferenceAnswer(std::string_view prompt, TokenCount tokens);

}  // namespace gcw

#endif  // PROTOCOL_REFERENCE_ANSWER_H_
