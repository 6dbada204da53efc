// Measures the cost of one routing decision in time and allocations. Times are
// only printed; allocations are figures that CI may bound.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <new>
#include <string>
#include <utility>
#include <vector>

#include "bench/bench_report.h"
#include "coordination/coordination.h"

namespace {

std::atomic<std::int64_t> allocations = 0;

}  // namespace

// Counts each allocation of the process. Inlining would make the compiler
// report `operator new` and `operator delete` as mismatched.
[[gnu::noinline]] void* operator new(std::size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace gcw::bench {
namespace {

constexpr std::size_t kBlocks = 200;
constexpr std::size_t kSystemBlocks = 80;
constexpr std::size_t kSessions = 512;
constexpr std::int64_t kInFlight = 160;

RequestProfile SessionRequest(std::uint64_t session) {
  RequestProfile profile;
  profile.contract = ContractId("team-" + std::to_string(session % 10));
  profile.target = ModelTarget{ModelId("notes"), {}};
  profile.prompt_tokens = TokenCount(kBlocks * 16);
  profile.deadline = Time::FromMillis(1000000000);
  for (std::size_t i = 0; i < kBlocks; ++i) {
    const std::uint64_t owner =
        i < kSystemBlocks ? session % 10 : session + 1000;
    profile.prefix_blocks.push_back(SeededRandom(owner * 100000 + i)());
  }
  return profile;
}

// A router under load: all endpoints have reported, requests are in flight and
// sessions are known.
class BusyRouter {
 public:
  explicit BusyRouter(std::int64_t endpoints) {
    RouterSettings settings;
    settings.prefix_index.max_endpoints = endpoints;
    router_ = RouterBuilder().SetSettings(settings).Build();
    router_->SetNodeCount(8);
    for (std::int64_t i = 0; i < endpoints; ++i) {
      AddEndpoint("replica-" + std::to_string(i));
    }
    for (std::uint64_t session = 0; session < kSessions; ++session) {
      profiles_.push_back(SessionRequest(session));
    }
    for (std::int64_t i = 0; i < kInFlight; ++i) {
      in_flight_.push_back(StartRequest());
    }
  }

  Route Choose() {
    now_ = now_ + Duration::Millis(1);
    return ValueOf(router_->Choose(now_, NextProfile(), {}));
  }

  // Starts a request and finishes an older one.
  void StartAndFinishRequest() {
    const DispatchTicket ended =
        std::exchange(in_flight_[next_ % in_flight_.size()], StartRequest());
    router_->OnFirstByte(now_, ended);
    router_->OnFinished(now_, ended, TokenCount(100));
  }

 private:
  void AddEndpoint(const std::string& name) {
    const EndpointId id(name);
    router_->OnEndpointUp(now_, {.id = id,
                                 .group = GroupId(name),
                                 .generation = Generation(1),
                                 .model = ModelId("notes"),
                                 .service = {},
                                 .zone = ZoneId("zone"),
                                 .address = {}});
    router_->OnLoadReport(now_, {.endpoint = id,
                                 .generation = Generation(1),
                                 .taken_at = now_,
                                 .queued_requests = 0,
                                 .running_requests = 20,
                                 .batch_limit = 64,
                                 .queued_prompt_tokens = TokenCount(100),
                                 .cache_used = {},
                                 .cache_capacity = {}});
  }

  const RequestProfile& NextProfile() {
    return profiles_[next_++ % profiles_.size()];
  }

  DispatchTicket StartRequest() {
    const RequestProfile& profile = NextProfile();
    const auto route = router_->Choose(now_, profile, {});
    return router_->OnDispatched(now_, ValueOf(route), profile);
  }

  std::unique_ptr<Router> router_;
  std::vector<RequestProfile> profiles_;
  std::vector<DispatchTicket> in_flight_;
  std::size_t next_ = 0;
  Time now_ = Time::FromMillis(1000);
};

template <typename Step>
void Measure(benchmark::State& state, Step step) {
  BusyRouter router(state.range(0));
  // Warms up the router, so that its vectors have reached their final size
  // before allocations are counted.
  for (std::size_t i = 0; i < 4 * kSessions; ++i) {
    step(router);
  }
  const std::int64_t before = allocations.load();
  for (auto _ : state) {
    step(router);
  }
  state.counters["allocations"] = benchmark::Counter(
      static_cast<double>(allocations.load() - before) /
      static_cast<double>(std::max<std::int64_t>(1, state.iterations())));
}

void Choose(benchmark::State& state) {
  Measure(state, [](BusyRouter& router) {
    benchmark::DoNotOptimize(router.Choose());
  });
}
// The arguments are the current fleet, a subset of the large fleet, and the
// whole large fleet.
BENCHMARK(Choose)->Arg(65)->Arg(96)->Arg(620)->MinTime(0.5);

void WholeRequest(benchmark::State& state) {
  Measure(state, [](BusyRouter& router) { router.StartAndFinishRequest(); });
}
BENCHMARK(WholeRequest)->Arg(65)->Arg(96)->Arg(620)->MinTime(0.5);

// Prints like `ConsoleReporter` and records the figures in a `BenchReport`.
class RecordingReporter final : public benchmark::ConsoleReporter {
 public:
  explicit RecordingReporter(BenchReport& report) : report_(report) {}

  void ReportRuns(const std::vector<Run>& runs) override {
    ConsoleReporter::ReportRuns(runs);
    for (const Run& run : runs) {
      const double micros = run.GetAdjustedRealTime() / 1000;
      const double count = run.counters.at("allocations").value;
      report_.AddRow({run.run_name.function_name + "/" + run.run_name.args,
                      FormatNumber(micros, 2), FormatNumber(count, 3)});
      report_.SetFigure(
          run.run_name.function_name + "_" + run.run_name.args + "_allocations",
          count);
    }
  }

 private:
  BenchReport& report_;
};

int Run(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  const BenchOptions options = ParseBenchOptions(argc, argv);
  BenchReport report("decision", {"decision", "us", "allocations"});
  RecordingReporter reporter(report);
  benchmark::RunSpecifiedBenchmarks(&reporter);
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Run(argc, argv);
}
