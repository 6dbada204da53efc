#ifndef TRANSPORT_KEY_DIGEST_H_
#define TRANSPORT_KEY_DIGEST_H_

#include <string_view>

#include "core/core.h"

namespace gcw {

// Returns the digest by which contracts identify a caller's bearer key.
KeyDigest ComputeKeyDigest(std::string_view key);

// Takes the same time wherever the digests differ, so that the time reveals
// nothing about them. Their lengths are not secret.
bool EqualInConstantTime(const KeyDigest& a, const KeyDigest& b);

}  // namespace gcw

#endif  // TRANSPORT_KEY_DIGEST_H_
