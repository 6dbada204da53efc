#ifndef PROGRAMS_GCW_LOAD_ENTRY_LIST_H_
#define PROGRAMS_GCW_LOAD_ENTRY_LIST_H_

#include <string_view>
#include <vector>

#include "protocol/protocol.h"
#include "state/state.h"

namespace gcw {

struct WeightedEntry {
  Address address;
  double weight = 0;
};

// The response of `GET /v1/entries`.
struct EntryList {
  std::vector<WeightedEntry> entries;
  // How long the list may be used before it is renewed.
  Duration ttl;
};

// Fails on an entry with a negative weight.
Decoded<EntryList> DecodeEntryList(std::string_view text);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ENTRY_LIST_H_
