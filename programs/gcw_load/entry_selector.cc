#include "programs/gcw_load/entry_selector.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Lower bound of the renewal interval, so that a list with `keep_ms` 0 does not
// cause a busy loop.
constexpr Duration kMinRenewInterval = Duration::Millis(100);

}  // namespace

EntrySelector::EntrySelector(Random random) : random_(std::move(random)) {}

void EntrySelector::Replace(Time now, EntryList list) {
  if (!list.entries.empty()) {
    entries_ = std::move(list.entries);
  }
  renew_at_ = now + std::max(list.ttl, kMinRenewInterval);
}

std::optional<Address> EntrySelector::Choose(
    const std::vector<Address>& tried) const {
  std::vector<const WeightedEntry*> candidates;
  double total = 0;
  for (const WeightedEntry& entry : entries_) {
    if (std::find(tried.begin(), tried.end(), entry.address) == tried.end()) {
      candidates.push_back(&entry);
      total += entry.weight;
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (total <= 0) {
    return candidates[DrawBelow(random_, candidates.size())]->address;
  }
  // Entries of weight 0 are removed, because rounding could otherwise select
  // one.
  std::erase_if(candidates,
                [](const WeightedEntry* entry) { return entry->weight <= 0; });
  double drawn = DrawUnit(random_) * total;
  for (const WeightedEntry* entry : candidates) {
    drawn -= entry->weight;
    if (drawn < 0) {
      return entry->address;
    }
  }
  return candidates.back()->address;
}

}  // namespace gcw
