#ifndef PROGRAMS_GCW_LOAD_ENTRY_BOOK_H_
#define PROGRAMS_GCW_LOAD_ENTRY_BOOK_H_

#include <optional>
#include <vector>

#include "programs/gcw_load/entry_list.h"

namespace gcw {

// The addresses that a caller may use, chosen by weight. An answer that is due
// for renewal stays in use until a newer one has come: a caller that threw its
// only addresses away could not even ask again.
class EntryBook {
 public:
  explicit EntryBook(Random random);

  // An answer without any address keeps the one before.
  void Replace(Time now, EntryList list);
  // When the answer's time is over.
  Time renew_at() const { return renew_at_; }

  // Absent where all addresses were tried. Addresses of weight 0 are taken only
  // when no other is left.
  std::optional<Address> Choose(const std::vector<Address>& tried) const;

 private:
  Random random_;
  std::vector<WeightedEntry> entries_;
  Time renew_at_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ENTRY_BOOK_H_
