#ifndef STATE_CONTRACT_ENTRY_H_
#define STATE_CONTRACT_ENTRY_H_

#include <optional>

#include "core/core.h"
#include "state/contract.h"

namespace gcw {

// Value of a contract's key. A withdrawn contract leaves an entry without a
// contract, so that no node takes an older value for the newest.
struct ContractEntry {
  ContractId id;
  std::optional<Contract> contract;
  // Shows whether a write whose reply was lost took effect.
  ChangeId change;

  friend bool operator==(const ContractEntry&, const ContractEntry&) = default;
};

}  // namespace gcw

#endif  // STATE_CONTRACT_ENTRY_H_
