#include "programs/gcw_load/entry_book.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Lower bound of the renewal interval, so that a list with `keep_ms` 0 does not
// cause a busy loop.
constexpr Duration kShortestKeep = Duration::Millis(100);

}  // namespace

EntryBook::EntryBook(Random random) : random_(std::move(random)) {}

void EntryBook::Replace(Time now, EntryList list) {
  if (!list.entries.empty()) {
    entries_ = std::move(list.entries);
  }
  renew_at_ = now + std::max(list.keep, kShortestKeep);
}

std::optional<Address> EntryBook::Choose(
    const std::vector<Address>& tried) const {
  std::vector<const WeightedEntry*> left;
  double total = 0;
  for (const WeightedEntry& entry : entries_) {
    if (std::find(tried.begin(), tried.end(), entry.address) == tried.end()) {
      left.push_back(&entry);
      total += entry.weight;
    }
  }
  if (left.empty()) {
    return std::nullopt;
  }
  if (total <= 0) {
    return left[DrawBelow(random_, left.size())]->address;
  }
  // Entries of weight 0 are removed, because rounding could otherwise select
  // one.
  std::erase_if(left,
                [](const WeightedEntry* entry) { return entry->weight <= 0; });
  double drawn = DrawUnit(random_) * total;
  for (const WeightedEntry* entry : left) {
    drawn -= entry->weight;
    if (drawn < 0) {
      return entry->address;
    }
  }
  return left.back()->address;
}

}  // namespace gcw
