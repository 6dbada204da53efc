#include "coordination/at_most_once/issued_keys.h"

#include <charconv>
#include <string>
#include <utility>

namespace gcw {

namespace {

constexpr std::string_view kPrefix = "gcw1.";

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* const last = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), last, value);
  if (text.empty() || error != std::errc() || stop != last) {
    return std::nullopt;
  }
  return value;
}

// Removes the last '.' and the text after it from `text`, and returns that
// text.
std::string_view TakeLastField(std::string_view& text) {
  const std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return {};
  }
  const std::string_view last = text.substr(dot + 1);
  text = text.substr(0, dot);
  return last;
}

// Keeps claims longer than the keys themselves, and never runs out of journal
// space: issued keys have no journal.
OnceShardSettings ClaimSettings(const IssuedKeysSettings& settings) {
  OnceShardSettings claims = settings.claims;
  claims.window = settings.key_ttl + Duration::Seconds(1);
  claims.max_journal_bytes = settings.max_keys * 1024;
  return claims;
}

}  // namespace

IdempotencyKey IssuedKey::Format() const {
  return IdempotencyKey(std::string(kPrefix) + home.value() + "." +
                        std::to_string(incarnation.value()) + "." +
                        std::to_string(sequence) + "." + std::to_string(nonce));
}

std::optional<IssuedKey> IssuedKey::Parse(std::string_view text) {
  if (!text.starts_with(kPrefix)) {
    return std::nullopt;
  }
  text.remove_prefix(kPrefix.size());
  const std::optional<std::uint64_t> nonce = ParseNumber(TakeLastField(text));
  const std::optional<std::uint64_t> sequence =
      ParseNumber(TakeLastField(text));
  const std::optional<std::uint64_t> incarnation =
      ParseNumber(TakeLastField(text));
  if (!nonce || !sequence || !incarnation || text.empty()) {
    return std::nullopt;
  }
  return IssuedKey{NodeId(std::string(text)),
                   Incarnation(static_cast<std::int64_t>(*incarnation)),
                   static_cast<std::int64_t>(*sequence), *nonce};
}

std::optional<IssuedKey> IssuedKey::ParseScoped(const IdempotencyKey& key) {
  const std::string_view text = key.value();
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  return Parse(text.substr(slash + 1));
}

IssuedKeys::IssuedKeys(OnceMember self,
                       IssuedKeysSettings settings,
                       Random random)
    : self_(std::move(self)),
      settings_(settings),
      random_(std::move(random)),
      claims_(ClaimSettings(settings)) {}

IdempotencyKey IssuedKeys::Issue(Time now, const ContractId& contract) {
  if (issued_.size() >= settings_.max_keys) {
    issued_.pop_front();
    ++first_sequence_;
  }
  const auto sequence =
      first_sequence_ + static_cast<std::int64_t>(issued_.size());
  const std::uint64_t nonce = random_();
  issued_.push_back(Issued{nonce, now, contract});
  return IssuedKey{self_.node, self_.incarnation, sequence, nonce}.Format();
}

OnceVerdict IssuedKeys::Claim(Time now, const OnceClaimRequest& request) {
  Tick(now);
  const std::optional<IssuedKey> key = IssuedKey::ParseScoped(request.key);
  if (!key) {
    return OnceMismatch{};
  }
  // The issuing process has restarted, or the key was dropped from memory.
  if (key->incarnation != self_.incarnation ||
      key->sequence < first_sequence_) {
    return OnceEarlierUnknown{};
  }
  if (!IsIssued(*key, request.key)) {
    return OnceMismatch{};
  }
  const OnceShardDecision decision = claims_.Claim(now, request);
  if (std::holds_alternative<OnceRecorded>(decision)) {
    return OnceGranted{};
  }
  return std::get<OnceVerdict>(decision);
}

bool IssuedKeys::IsIssued(const IssuedKey& key,
                          const IdempotencyKey& scoped) const {
  const auto index = static_cast<std::size_t>(key.sequence - first_sequence_);
  if (index >= issued_.size()) {
    return false;
  }
  const Issued& issued = issued_[index];
  return issued.nonce == key.nonce &&
         ScopedOnceKey(issued.contract, key.Format()) == scoped;
}

void IssuedKeys::Finish(Time now, const OnceFinish& finish) {
  claims_.Finish(now, finish);
}

void IssuedKeys::Tick(Time now) {
  while (!issued_.empty() && issued_.front().at + settings_.key_ttl <= now) {
    issued_.pop_front();
    ++first_sequence_;
  }
  claims_.Tick(now);
}

}  // namespace gcw
