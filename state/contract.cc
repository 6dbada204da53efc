#include "state/contract.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace gcw {
namespace {

constexpr std::size_t kDigestLength = 64;

bool IsIdCharacter(unsigned char character) {
  return std::isalnum(character) != 0 || character == '-' || character == '_' ||
         character == '.';
}

bool IsWellFormedId(const std::string& id) {
  return id.size() <= ContractBuilder::kMaxIdLength &&
         std::all_of(id.begin(), id.end(), IsIdCharacter);
}

bool IsWellFormedDigest(const KeyDigest& digest) {
  return digest.value().size() == kDigestLength &&
         std::all_of(digest.value().begin(), digest.value().end(),
                     [](unsigned char character) {
                       return std::isxdigit(character) != 0 &&
                              std::isupper(character) == 0;
                     });
}

}  // namespace

std::string_view TierName(Tier tier) {
  return tier == Tier::kPaid ? "paid" : "trial";
}

std::string_view ContractErrorKindName(ContractErrorKind kind) {
  switch (kind) {
    case ContractErrorKind::kIdMissing:
      return "id_missing";
    case ContractErrorKind::kIdMalformed:
      return "id_malformed";
    case ContractErrorKind::kCustomerMissing:
      return "customer_missing";
    case ContractErrorKind::kNothingAllowed:
      return "nothing_allowed";
    case ContractErrorKind::kRequestRateOutOfRange:
      return "request_rate_out_of_range";
    case ContractErrorKind::kTokenRateOutOfRange:
      return "token_rate_out_of_range";
    case ContractErrorKind::kConcurrencyOutOfRange:
      return "concurrency_out_of_range";
    case ContractErrorKind::kRankOutOfRange:
      return "rank_out_of_range";
    case ContractErrorKind::kValidityEmpty:
      return "validity_empty";
    case ContractErrorKind::kKeyMissing:
      return "key_missing";
    case ContractErrorKind::kKeyMalformed:
      return "key_malformed";
  }
  return "unknown";
}

ContractBuilder& ContractBuilder::SetId(ContractId id) {
  contract_.id = std::move(id);
  return *this;
}

ContractBuilder& ContractBuilder::SetCustomer(std::string customer) {
  contract_.customer = std::move(customer);
  return *this;
}

ContractBuilder& ContractBuilder::SetTier(Tier tier) {
  contract_.tier = tier;
  return *this;
}

ContractBuilder& ContractBuilder::SetRank(Rank rank) {
  contract_.rank = rank;
  return *this;
}

ContractBuilder& ContractBuilder::AllowModel(ModelId model) {
  contract_.models.insert(std::move(model));
  return *this;
}

ContractBuilder& ContractBuilder::AllowService(ServiceId service) {
  contract_.services.insert(std::move(service));
  return *this;
}

ContractBuilder& ContractBuilder::SetRequestsPerSecond(double rate) {
  contract_.requests_per_second = rate;
  return *this;
}

ContractBuilder& ContractBuilder::SetTokensPerSecond(double rate) {
  contract_.tokens_per_second = rate;
  return *this;
}

ContractBuilder& ContractBuilder::SetConcurrency(std::int64_t concurrency) {
  contract_.concurrency = concurrency;
  return *this;
}

ContractBuilder& ContractBuilder::SetValidity(Time from,
                                              std::optional<Time> until) {
  contract_.valid_from = from;
  contract_.valid_until = until;
  return *this;
}

ContractBuilder& ContractBuilder::AddKey(KeyDigest digest) {
  contract_.keys.insert(std::move(digest));
  return *this;
}

std::optional<ContractError> Validate(const Contract& contract) {
  if (contract.id.empty()) {
    return ContractError{ContractErrorKind::kIdMissing, "id"};
  }
  if (!IsWellFormedId(contract.id.value())) {
    return ContractError{ContractErrorKind::kIdMalformed, "id"};
  }
  if (contract.customer.empty()) {
    return ContractError{ContractErrorKind::kCustomerMissing, "customer"};
  }
  if (contract.models.empty() && contract.services.empty()) {
    return ContractError{ContractErrorKind::kNothingAllowed, "models"};
  }
  if (!(contract.requests_per_second > 0 &&
        contract.requests_per_second <=
            ContractBuilder::kMaxRequestsPerSecond)) {
    return ContractError{ContractErrorKind::kRequestRateOutOfRange,
                         "requests_per_second"};
  }
  if (!contract.models.empty() &&
      !(contract.tokens_per_second > 0 &&
        contract.tokens_per_second <= ContractBuilder::kMaxTokensPerSecond)) {
    return ContractError{ContractErrorKind::kTokenRateOutOfRange,
                         "tokens_per_second"};
  }
  if (contract.concurrency < 1 ||
      contract.concurrency > ContractBuilder::kMaxConcurrency) {
    return ContractError{ContractErrorKind::kConcurrencyOutOfRange,
                         "concurrency"};
  }
  if (contract.rank.value() < 0 ||
      contract.rank.value() > ContractBuilder::kMaxRank) {
    return ContractError{ContractErrorKind::kRankOutOfRange, "rank"};
  }
  if (contract.valid_until && *contract.valid_until <= contract.valid_from) {
    return ContractError{ContractErrorKind::kValidityEmpty, "valid_until_ms"};
  }
  if (contract.keys.empty()) {
    return ContractError{ContractErrorKind::kKeyMissing, "keys"};
  }
  if (!std::all_of(contract.keys.begin(), contract.keys.end(),
                   IsWellFormedDigest)) {
    return ContractError{ContractErrorKind::kKeyMalformed, "keys"};
  }
  return std::nullopt;
}

Result<Contract, ContractError> ContractBuilder::Build() const {
  if (const std::optional<ContractError> error = Validate(contract_)) {
    return *error;
  }
  return contract_;
}

}  // namespace gcw
