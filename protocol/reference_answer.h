#ifndef PROTOCOL_REFERENCE_ANSWER_H_
#define PROTOCOL_REFERENCE_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/core.h"

namespace gcw {

// The text that the stand-in engine generates for a prompt, so that a load
// generator can check that an answer is whole and its own. An answer always has
// as many tokens as the request allows.

// Token `index`: "w<index>-<8 hexadecimal digits of the prompt's hash>", after
// a space unless it is the first.
std::string ReferenceToken(std::string_view prompt, std::int64_t index);

// The same token where the prompt's hash is at hand.
std::string ReferenceToken(std::uint64_t prompt_hash, std::int64_t index);

// The tokens from 0 to `tokens`.
std::string ReferenceAnswer(std::string_view prompt, TokenCount tokens);

}  // namespace gcw

#endif  // PROTOCOL_REFERENCE_ANSWER_H_
