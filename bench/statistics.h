#ifndef BENCH_STATISTICS_H_
#define BENCH_STATISTICS_H_

#include <vector>

namespace gcw::bench {

// The value below which `share` of all lie; 0 for none. Reorders `values`.
double Percentile(std::vector<double>& values, double share);
// 0 for none.
double Mean(const std::vector<double>& values);

}  // namespace gcw::bench

#endif  // BENCH_STATISTICS_H_
