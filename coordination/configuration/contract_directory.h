#ifndef COORDINATION_CONFIGURATION_CONTRACT_DIRECTORY_H_
#define COORDINATION_CONFIGURATION_CONTRACT_DIRECTORY_H_

#include <optional>
#include <unordered_map>

#include "coordination/requests/request.h"
#include "state/state.h"

namespace gcw {

// Holds the contracts in force at this node, by id and by the digests of their
// callers' keys.
class ContractDirectory {
 public:
  void Set(const Contract& contract);
  void Remove(const ContractId& id);

  const Contract* Find(const ContractId& id) const;
  // If two contracts contain the same key, returns the one that was set last.
  const Contract* FindByKey(const KeyDigest& digest) const;

  // Returns the reason why a request for this target may not run under the
  // contract at `now`, or no value if it may.
  static std::optional<RefusalKind> Check(const Contract& contract,
                                          Time now,
                                          const RequestTarget& target);

 private:
  std::unordered_map<ContractId, Contract> contracts_;
  std::unordered_map<KeyDigest, ContractId> keys_;
};

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_CONTRACT_DIRECTORY_H_
