#ifndef STATE_CONTRACT_H_
#define STATE_CONTRACT_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/core.h"

namespace gcw {

// What a customer was promised. Paid contracts always go before trial ones.
enum class Tier { kPaid, kTrial };

std::string_view TierName(Tier tier);

// What one customer may run, how much, and how it ranks when capacity is
// short. Every limit that the customer meets follows from it.
struct Contract {
  ContractId id;
  std::string customer;
  Tier tier = Tier::kTrial;
  // Within the tier; a lower number is served first.
  Rank rank;
  std::set<ModelId> models;
  std::set<ServiceId> services;
  // Over all nodes together. Prompt and generated tokens both count.
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::int64_t concurrency = 0;
  Time valid_from;
  // No end where absent.
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

// Why a contract cannot be accepted; `field` names the setting at fault.
struct ContractError {
  ContractErrorKind kind;
  std::string_view field;
};

std::string_view ContractErrorKindName(ContractErrorKind kind);

// The first reason why the contract cannot be accepted, if there is one.
std::optional<ContractError> FindFault(const Contract& contract);

// Checks and builds a contract.
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
