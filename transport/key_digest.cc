#include "transport/key_digest.h"

#include <array>
#include <string>

#include <glog/logging.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace gcw {

KeyDigest ComputeKeyDigest(std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int size = 0;
  const int success = EVP_Digest(key.data(), key.size(), digest.data(), &size,
                                 EVP_sha256(), nullptr);
  // This fails only if memory or the algorithm is unavailable. The process must
  // not continue: an empty digest would match other keys' empty digests.
  CHECK_EQ(success, 1) << "SHA-256 is not available";
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(2UL * size);
  for (unsigned int i = 0; i < size; ++i) {
    text += digits[digest[i] >> 4U];
    text += digits[digest[i] & 0xfU];
  }
  return KeyDigest(std::move(text));
}

bool EqualInConstantTime(const KeyDigest& a, const KeyDigest& b) {
  return a.value().size() == b.value().size() &&
         CRYPTO_memcmp(a.value().data(), b.value().data(), a.value().size()) ==
             0;
}

}  // namespace gcw
