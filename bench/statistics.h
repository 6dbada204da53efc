#ifndef BENCH_STATISTICS_H_
#define BENCH_STATISTICS_H_

#include <vector>

namespace gcw::bench {

// Returns the value below which the fraction `share` of all values lies, or 0
// if `values` is empty. Reorders `values`.
double Percentile(std::vector<double>& values, double share);
// Returns 0 if `values` is empty.
double Mean(const std::vector<double>& values);

}  // namespace gcw::bench

#endif  // BENCH_STATISTICS_H_
