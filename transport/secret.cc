#include "transport/secret.h"

#include <utility>

#include <openssl/crypto.h>

namespace gcw {

Secret::Secret(std::string value) : value_(std::move(value)) {}

Secret::~Secret() {
  // Keeps the key out of later core dumps.
  OPENSSL_cleanse(value_.data(), value_.size());
}

bool Secret::Matches(std::string_view guess) const {
  if (value_.empty() || guess.size() != value_.size()) {
    return false;
  }
  return CRYPTO_memcmp(value_.data(), guess.data(), value_.size()) == 0;
}

}  // namespace gcw
