#ifndef STATE_CONTRACT_H_
#define STATE_CONTRACT_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/core.h"

namespace gcw {

// Service class of a contract. Paid contracts always take precedence over trial
// contracts.
enum class Tier { kPaid, kTrial };

std::string_view TierName(Tier tier);

// What one customer may run, how much, and with which priority when capacity is
// short. All limits enforced on the customer follow from it.
struct Contract {
  ContractId id;
  std::string customer;
  Tier tier = Tier::kTrial;
  // Priority within the tier; a lower number is served first.
  Rank rank;
  std::set<ModelId> models;
  std::set<ServiceId> services;
  // The limits hold for all nodes together. Prompt and generated tokens both
  // count.
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::int64_t concurrency = 0;
  Time valid_from;
  // Absent if the contract does not expire.
  std::optional<Time> valid_until;
  std::set<KeyDigest> keys;

  friend bool operator==(const Contract&, const Contract&) = default;
};

enum class ContractErrorKind {
  kIdMissing,
  kIdMalformed,
  kCustomerMissing,
  kNothingAllowed,
  kRequestRateOutOfRange,
  kTokenRateOutOfRange,
  kConcurrencyOutOfRange,
  kRankOutOfRange,
  kValidityEmpty,
  kKeyMissing,
  kKeyMalformed,
};

// Why a contract is invalid; `field` names the invalid setting.
struct ContractError {
  ContractErrorKind kind;
  std::string_view field;
};

std::string_view ContractErrorKindName(ContractErrorKind kind);

// Returns the first reason why the contract is invalid, if any.
std::optional<ContractError> Validate(const Contract& contract);

// Builds and validates a contract.
class ContractBuilder {
 public:
  static constexpr double kMaxRequestsPerSecond = 1e6;
  static constexpr double kMaxTokensPerSecond = 1e9;
  static constexpr std::int64_t kMaxConcurrency = 1000000;
  static constexpr std::int64_t kMaxRank = 1000;
  static constexpr std::size_t kMaxIdLength = 64;

  ContractBuilder& SetId(ContractId id);
  ContractBuilder& SetCustomer(std::string customer);
  ContractBuilder& SetTier(Tier tier);
  ContractBuilder& SetRank(Rank rank);
  ContractBuilder& AllowModel(ModelId model);
  ContractBuilder& AllowService(ServiceId service);
  ContractBuilder& SetRequestsPerSecond(double rate);
  ContractBuilder& SetTokensPerSecond(double rate);
  ContractBuilder& SetConcurrency(std::int64_t concurrency);
  ContractBuilder& SetValidity(Time from, std::optional<Time> until);
  ContractBuilder& AddKey(KeyDigest digest);

  Result<Contract, ContractError> Build() const;

 private:
  Contract contract_;
};

}  // namespace gcw

#endif  // STATE_CONTRACT_H_
