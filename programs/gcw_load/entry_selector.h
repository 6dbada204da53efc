#ifndef PROGRAMS_GCW_LOAD_ENTRY_SELECTOR_H_
#define PROGRAMS_GCW_LOAD_ENTRY_SELECTOR_H_

#include <optional>
#include <vector>

#include "programs/gcw_load/entry_list.h"

namespace gcw {

// The current entry list of a caller, with weighted choice of an address. An
// expired list stays in use until a newer one arrives: a caller that discarded
// its only addresses could not ask for new ones.
class EntrySelector {
 public:
  explicit EntrySelector(Random random);

  // Replaces the list; a list without addresses keeps the previous entries and
  // only sets the next renewal.
  void Replace(Time now, EntryList list);
  // When the list expires and is to be renewed.
  Time renew_at() const { return renew_at_; }

  // Chooses an address that is not in `tried`, absent if there is none.
  // Addresses of weight 0 are chosen only if no other is left.
  std::optional<Address> Choose(const std::vector<Address>& tried) const;

 private:
  Random random_;
  std::vector<WeightedEntry> entries_;
  Time renew_at_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ENTRY_SELECTOR_H_
