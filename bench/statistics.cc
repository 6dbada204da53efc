#include "bench/statistics.h"

#include <algorithm>
#include <numeric>

namespace gcw::bench {

double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto rank =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

double Mean(const std::vector<double>& values) {
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return sum / static_cast<double>(std::max<std::size_t>(1, values.size()));
}

}  // namespace gcw::bench
