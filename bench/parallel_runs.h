#ifndef BENCH_PARALLEL_RUNS_H_
#define BENCH_PARALLEL_RUNS_H_

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace gcw::bench {

// Maximum number of threads of one benchmark.
inline constexpr std::size_t kMaxThreads = 4;

// Executes independent runs on at most `kMaxThreads` threads. Each run has its
// own virtual time and seed, so the results do not depend on the number of
// threads.
template <typename Figures>
std::vector<Figures> RunAll(const std::vector<std::function<Figures()>>& runs) {
  std::vector<Figures> results(runs.size());
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < runs.size(); i = next++) {
      results[i] = runs[i]();
    }
  };
  const std::size_t threads = std::clamp<std::size_t>(
      std::thread::hardware_concurrency(), 1, kMaxThreads);
  std::vector<std::jthread> workers;
  for (std::size_t i = 0; i < threads; ++i) {
    workers.emplace_back(work);
  }
  workers.clear();
  return results;
}

}  // namespace gcw::bench

#endif  // BENCH_PARALLEL_RUNS_H_
