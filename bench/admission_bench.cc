// Measures the time (printed only) and the allocations (bounded by CI) of one
// admission against the number of contracts.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

#include "bench/allocation_count.h"
#include "bench/bench_report.h"
#include "coordination/coordination.h"

namespace gcw::bench {
namespace {

const ModelId kModel("notes");
constexpr int kEndpoints = 620;
constexpr int kWarmUpRequests = 20000;
constexpr int kCountedRequests = 20000;

// A node whose limits are far above the load, with free capacity at 620
// endpoints.
class AdmissionFixture {
 public:
  explicit AdmissionFixture(std::int64_t contracts)
      : limits_(Limits::Builder()
                    .SetSelf(NodeId("n0"), ZoneId("z"), Incarnation(1))
                    .Build(now_ - Duration::Seconds(3600))),
        admission_(Admission::Builder().SetLimits(&limits_).Build()) {
    for (std::int64_t i = 0; i < contracts; ++i) {
      AddContract(i);
    }
    ReportCapacity();
  }

  // Runs one request from the lookup of its key to its end.
  void RunRequest() {
    const KeyDigest& key = keys_[next_ % keys_.size()];
    profile_.contract = admission_.FindContract(key)->id;
    profile_.id = RequestId("request-" + std::to_string(next_++));
    profile_.deadline = now_ + Duration::Seconds(30);
    benchmark::DoNotOptimize(admission_.Offer(now_, profile_));
    benchmark::DoNotOptimize(
        admission_.OnFinished(now_, profile_.id, TokenCount(150)));
  }

 private:
  void AddContract(std::int64_t i) {
    Contract contract;
    contract.id = ContractId("contract-" + std::to_string(i));
    contract.tier = Tier::kPaid;
    contract.models = {kModel};
    contract.requests_per_second = 1e9;
    contract.tokens_per_second = 1e12;
    contract.concurrency = 1000000;
    // The key has the length of a SHA-256 digest in hexadecimal digits.
    std::string digest(64, '0');
    const std::string number = std::to_string(i);
    digest.replace(0, number.size(), number);
    keys_.emplace_back(digest);
    contract.keys = {keys_.back()};
    admission_.OnContract(now_, contract);
  }

  void ReportCapacity() {
    Headroom headroom;
    headroom.taken_at = now_;
    for (int i = 0; i < kEndpoints; ++i) {
      headroom.endpoints.push_back(
          {.endpoint = EndpointId("endpoint-" + std::to_string(i)),
           .batch_limit = 64,
           .running = 10,
           .queued = 0,
           .paid = 10,
           .cache_share = 0});
    }
    admission_.OnHeadroom(now_, kModel, std::move(headroom));
    profile_.target = ModelTarget{kModel, {}};
    profile_.prompt_tokens = TokenCount(300);
    profile_.max_generated_tokens = TokenCount(500);
  }

  Time now_ = Time::FromMillis(10000000);
  Limits limits_;
  Admission admission_;
  std::vector<KeyDigest> keys_;
  RequestProfile profile_;
  std::size_t next_ = 0;
};

double AllocationsPerRequest(std::int64_t contracts) {
  AdmissionFixture fixture(contracts);
  for (int i = 0; i < kWarmUpRequests; ++i) {
    fixture.RunRequest();
  }
  const std::int64_t before = AllocationCount();
  for (int i = 0; i < kCountedRequests; ++i) {
    fixture.RunRequest();
  }
  return static_cast<double>(AllocationCount() - before) / kCountedRequests;
}

void BM_Admission(benchmark::State& state) {
  AdmissionFixture fixture(state.range(0));
  for (int i = 0; i < kWarmUpRequests; ++i) {
    fixture.RunRequest();
  }
  for ([[maybe_unused]] auto _ : state) {
    fixture.RunRequest();
  }
}
BENCHMARK(BM_Admission)->Arg(10)->Arg(1000)->Arg(10000);

int Run(const BenchOptions& options) {
  benchmark::RunSpecifiedBenchmarks();
  BenchReport report("admission", {"contracts", "allocations a request"});
  for (const std::int64_t contracts : {10, 10000}) {
    const double allocations = AllocationsPerRequest(contracts);
    report.AddRow({std::to_string(contracts), FormatNumber(allocations, 2)});
    report.SetFigure("allocations_" + std::to_string(contracts), allocations);
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  // Removes the options of the benchmark library from the list and leaves those
  // of `ParseBenchOptions`.
  benchmark::Initialize(&argc, argv);
  return gcw::bench::Run(gcw::bench::ParseBenchOptions(argc, argv));
}
