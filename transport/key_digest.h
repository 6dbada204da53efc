#ifndef TRANSPORT_KEY_DIGEST_H_
#define TRANSPORT_KEY_DIGEST_H_

#include <string_view>

#include "core/core.h"

namespace gcw {

// The digest under which contracts keep a caller's bearer key.
KeyDigest DigestOfKey(std::string_view key);

// Takes as long for digests that differ late as for ones that differ early, so
// that a guesser learns nothing from the time. Lengths are no secret.
bool EqualInConstantTime(const KeyDigest& a, const KeyDigest& b);

}  // namespace gcw

#endif  // TRANSPORT_KEY_DIGEST_H_
