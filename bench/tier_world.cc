#include "bench/tier_world.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace gcw::bench {
namespace {

const ModelId kModel("notes");
const ContractId kTrialContract("trial");
constexpr Micros kTickPeriod = 50000;
constexpr Micros kNetworkDelay = 1000;
constexpr double kMicrosPerSecond = 1e6;

ContractId TeamContract(std::size_t team) {
  return ContractId("team-" + std::to_string(team));
}

Contract MakeContract(const ContractId& id, Tier tier) {
  Contract contract;
  contract.id = id;
  contract.tier = tier;
  contract.models = {kModel};
  contract.requests_per_second = 1e5;
  contract.tokens_per_second = 1e8;
  contract.concurrency = 100000;
  return contract;
}

RequestId IdOf(std::uint64_t call) {
  return RequestId(std::to_string(call));
}

std::uint64_t CallOf(const RequestId& id) {
  return std::stoull(id.value());
}

std::size_t EndpointIndex(const EndpointId& id) {
  return std::stoul(id.value().substr(1));
}

}  // namespace

TierWorld::TierWorld(const TierWorldSettings& settings, std::uint64_t seed)
    : settings_(settings),
      random_(SeededRandom(seed)),
      callers_{SeededRandom(seed + 100), SeededRandom(seed + 200),
               SeededRandom(seed + 300)},
      teams_(kTeams) {
  MakeEndpoints();
  MakeNodes(seed);
}

double TierWorld::measured_seconds() const {
  return static_cast<double>(settings_.end - settings_.warm_up) /
         kMicrosPerSecond;
}

// No node owns limits here, so each node enforces its floor. The contracts'
// limits are far above the load.
void TierWorld::MakeNodes(std::uint64_t seed) {
  for (std::size_t i = 0; i < settings_.nodes; ++i) {
    LimitSettings limit_settings;
    limit_settings.min_floor_nodes = static_cast<std::int64_t>(settings_.nodes);
    auto limits =
        std::make_unique<Limits>(Limits::Builder()
                                     .SetSelf(NodeId("n" + std::to_string(i)),
                                              ZoneId("z"), Incarnation(1))
                                     .SetSettings(limit_settings)
                                     .Build(Time() - Duration::Seconds(3600)));
    auto admission = std::make_unique<Admission>(
        Admission::Builder()
            .SetSettings(settings_.admission)
            .SetRandom(SeededRandom(seed * 1000 + i))
            .SetLimits(limits.get())
            .Build());
    for (std::size_t team = 0; team < kTeams; ++team) {
      admission->OnContract(Time(),
                            MakeContract(TeamContract(team), Tier::kPaid));
    }
    admission->OnContract(Time(), MakeContract(kTrialContract, Tier::kTrial));
    nodes_.push_back({std::move(limits), std::move(admission), {}});
  }
}

void TierWorld::MakeEndpoints() {
  for (std::size_t i = 0; i < settings_.endpoints; ++i) {
    EngineSettings engine;
    engine.id = EndpointId("e" + std::to_string(i));
    endpoints_.push_back(std::make_unique<EndpointModel>(events_, engine));
    endpoints_.back()->set_on_token([this](std::uint64_t id) { OnToken(id); });
  }
  paid_running_.resize(settings_.endpoints);
  trial_running_.resize(settings_.endpoints);
  reports_.resize(settings_.endpoints);
}

void TierWorld::Run() {
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const auto first = static_cast<Micros>(DrawBelow(
        random_, static_cast<std::uint64_t>(settings_.report_period)));
    events_.ScheduleAt(first, [this, i] { Publish(i); });
  }
  ScheduleArrival(Tier::kPaid, settings_.paid_per_second, false);
  ScheduleArrival(Tier::kTrial, settings_.trial_per_second, false);
  ScheduleArrival(Tier::kPaid, settings_.flood_per_second, true);
  events_.ScheduleAt(0, [this] { TickNodes(); });
  events_.ScheduleAt(settings_.loss_at, [this] { LoseEndpoints(); });
  events_.RunUntil(settings_.end);
}

void TierWorld::Publish(std::size_t endpoint) {
  const EndpointModel& engine = *endpoints_[endpoint];
  if (!engine.is_down()) {
    const Report report{engine.Load(), paid_running_[endpoint], true};
    events_.ScheduleAfter(settings_.report_lag, [this, endpoint, report] {
      if (endpoints_[endpoint]->is_down()) {
        return;
      }
      reports_[endpoint] = report;
      for (Node& node : nodes_) {
        std::erase_if(node.sent[endpoint], [&report](Micros when) {
          return Time::FromMillis(when / 1000) <= report.load.taken_at;
        });
      }
    });
  }
  events_.ScheduleAfter(settings_.report_period,
                        [this, endpoint] { Publish(endpoint); });
}

void TierWorld::LoseEndpoints() {
  // The lost endpoints are spread evenly over all endpoints.
  const std::size_t total = endpoints_.size();
  for (std::size_t i = 0; i < settings_.lost_endpoints; ++i) {
    const std::size_t lost = i * total / settings_.lost_endpoints;
    reports_[lost].is_known = false;
    endpoints_[lost]->GoDown();
  }
}

template <typename Function>
void TierWorld::Record(const Call& call, Function function) {
  if (!IsMeasured(call)) {
    return;
  }
  function(OutcomeOf(call));
  if (call.tier == Tier::kPaid) {
    function(teams_[call.team]);
  }
}

void TierWorld::Offer(Call& call) {
  Record(call, [](TierOutcome& o) { ++o.offered; });
  if (settings_.policy != TierPolicy::kPools) {
    OfferToPolicy(call);
    return;
  }
  RequestProfile profile;
  profile.id = IdOf(call.id);
  profile.contract =
      call.tier == Tier::kPaid ? TeamContract(call.team) : kTrialContract;
  profile.target = ModelTarget{kModel, {}};
  profile.prompt_tokens = TokenCount(call.prompt);
  profile.max_generated_tokens = TokenCount(1000);
  profile.arrived = events_.time();
  profile.deadline = events_.time() + Duration::Seconds(30);
  Apply(nodes_[call.node].admission->Offer(events_.time(), profile));
}

// Implements the policies without pools. Paid requests may go to any endpoint;
// trial requests go to endpoints with a free slot according to the last report
// and this node's own dispatches.
void TierWorld::OfferToPolicy(Call& call) {
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < reports_.size(); ++i) {
    const Report& report = reports_[i];
    if (!report.is_known) {
      continue;
    }
    const double free = static_cast<double>(report.load.batch_limit) -
                        EstimatedLoad(call.node, i);
    const bool capped = settings_.policy == TierPolicy::kCapped &&
                        trial_running_[i] >= settings_.trial_cap;
    if (call.tier == Tier::kPaid || (free > 0 && !capped)) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    RecordRefusal(call.id);
    return;
  }
  Dispatch(call.id, call.tier == Tier::kPaid ? 0 : 1, candidates);
}

std::vector<std::size_t> TierWorld::CandidatesOf(const Admit& admit) const {
  std::vector<std::size_t> candidates;
  if (!admit.endpoints) {
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      candidates.push_back(i);
    }
    return candidates;
  }
  for (const EndpointId& id : *admit.endpoints) {
    candidates.push_back(EndpointIndex(id));
  }
  return candidates;
}

void TierWorld::Apply(std::vector<AdmissionAction> actions) {
  for (AdmissionAction& action : actions) {
    if (const auto* admit = std::get_if<Admit>(&action)) {
      Dispatch(CallOf(admit->request), admit->priority.value(),
               CandidatesOf(*admit));
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      RecordRefusal(CallOf(refuse->request));
    } else if (const auto* preempt = std::get_if<PreemptTrial>(&action)) {
      const std::uint64_t id = CallOf(preempt->request);
      events_.ScheduleAfter(kNetworkDelay, [this, id] { Preempt(id); });
    }
  }
}

double TierWorld::EstimatedLoad(std::size_t node, std::size_t endpoint) const {
  const LoadReport& load = reports_[endpoint].load;
  const auto sent = nodes_[node].sent.find(endpoint);
  const double own = sent == nodes_[node].sent.end()
                         ? 0
                         : static_cast<double>(sent->second.size());
  return static_cast<double>(load.running_requests + load.queued_requests) +
         own;
}

// Returns the less loaded of two random candidates.
std::size_t TierWorld::Pick(std::size_t node,
                            const std::vector<std::size_t>& candidates) {
  const std::size_t a = candidates[DrawBelow(random_, candidates.size())];
  const std::size_t b = candidates[DrawBelow(random_, candidates.size())];
  return EstimatedLoad(node, a) <= EstimatedLoad(node, b) ? a : b;
}

void TierWorld::Dispatch(std::uint64_t id,
                         std::int64_t priority,
                         const std::vector<std::size_t>& candidates) {
  Call& call = calls_.at(id);
  call.endpoint = Pick(call.node, candidates);
  nodes_[call.node].sent[call.endpoint].push_back(events_.now());
  const auto endpoint_id = endpoints_[call.endpoint]->settings().id;
  nodes_[call.node].admission->OnDispatched(IdOf(id), endpoint_id);
  events_.ScheduleAfter(kNetworkDelay, [this, id, priority] {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      return;
    }
    Call& sent = found->second;
    sent.is_placed = true;
    ++(sent.tier == Tier::kPaid ? paid_running_
                                : trial_running_)[sent.endpoint];
    EngineRequest request;
    request.id = id;
    request.priority = priority;
    request.prompt_tokens = sent.prompt;
    request.generated_tokens = sent.generate;
    request.on_finished = [this, id] { Finish(id); };
    request.on_failed = [this, id] { Fail(id); };
    endpoints_[sent.endpoint]->Submit(std::move(request));
  });
}

void TierWorld::OnToken(std::uint64_t id) {
  Call& call = calls_.at(id);
  const Micros now = events_.now();
  Record(call, [&](TierOutcome& o) {
    ++o.tokens;
    if (call.generated == 0) {
      o.ttft_millis.push_back(static_cast<double>(now - call.arrived) / 1000);
    } else {
      o.AddGap(now - call.last_token);
    }
  });
  ++call.generated;
  call.last_token = now;
}

void TierWorld::Finish(std::uint64_t id) {
  const Call call = calls_.at(id);
  calls_.erase(id);
  --(call.tier == Tier::kPaid ? paid_running_ : trial_running_)[call.endpoint];
  Record(call, [](TierOutcome& o) { ++o.answered; });
  Apply(nodes_[call.node].admission->OnFinished(events_.time(), IdOf(id),
                                                TokenCount(call.generated)));
}

// Records a request whose endpoint was lost. Callers do not retry in this
// model.
void TierWorld::Fail(std::uint64_t id) {
  const Call call = calls_.at(id);
  calls_.erase(id);
  --(call.tier == Tier::kPaid ? paid_running_ : trial_running_)[call.endpoint];
  Record(call, [](TierOutcome& o) { ++o.failed; });
  events_.ScheduleAfter(0, [this, call, id] {
    Apply(nodes_[call.node].admission->OnFinished(events_.time(), IdOf(id),
                                                  TokenCount(call.generated)));
  });
}

void TierWorld::Preempt(std::uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (!found->second.is_placed) {
    events_.ScheduleAfter(kNetworkDelay, [this, id] { Preempt(id); });
    return;
  }
  endpoints_[found->second.endpoint]->Cancel(id);
  const Call call = found->second;
  calls_.erase(found);
  --trial_running_[call.endpoint];
  Record(call, [&call](TierOutcome& o) {
    ++o.preempted;
    o.wasted_tokens += call.generated;
  });
  Apply(nodes_[call.node].admission->OnFinished(events_.time(), IdOf(id),
                                                TokenCount(call.generated)));
}

void TierWorld::RecordRefusal(std::uint64_t id) {
  Record(calls_.at(id), [](TierOutcome& o) { ++o.refused; });
  calls_.erase(id);
}

void TierWorld::SendHeadroom(std::size_t node) {
  Headroom headroom;
  headroom.taken_at = events_.time();
  headroom.sharing_nodes = static_cast<std::int64_t>(nodes_.size());
  for (const Report& report : reports_) {
    if (!report.is_known) {
      continue;
    }
    headroom.taken_at = std::min(headroom.taken_at, report.load.taken_at);
    headroom.endpoints.push_back({.endpoint = report.load.endpoint,
                                  .batch_limit = report.load.batch_limit,
                                  .running = report.load.running_requests,
                                  .queued = report.load.queued_requests,
                                  .paid = report.paid,
                                  .cache_share = 0});
  }
  Apply(nodes_[node].admission->OnHeadroom(events_.time(), kModel,
                                           std::move(headroom)));
}

void TierWorld::TickNodes() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].limits->Tick(events_.time());
    if (settings_.policy == TierPolicy::kPools) {
      SendHeadroom(i);
      Apply(nodes_[i].admission->Tick(events_.time()));
    }
  }
  events_.ScheduleAfter(kTickPeriod, [this] { TickNodes(); });
}

}  // namespace gcw::bench
