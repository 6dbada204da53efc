#include "programs/gcw_load/load_tally.h"

namespace gcw {

std::int64_t SumOf(const TypeCounts& counts) {
  std::int64_t sum = 0;
  for (const auto& [type, count] : counts) {
    sum += count;
  }
  return sum;
}

std::int64_t LoadTally::violations() const {
  std::int64_t sum = 0;
  for (const KindTally& kind : kinds) {
    sum += SumOf(kind.violations);
  }
  return sum;
}

}  // namespace gcw
