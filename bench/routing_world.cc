#include "bench/routing_world.h"

#include <algorithm>
#include <utility>

#include "bench/statistics.h"

namespace gcw::bench {
namespace {

constexpr std::size_t kZones = 3;
constexpr std::size_t kNodes = 8;
constexpr double kIntraZoneMillis = 0.2;
constexpr Micros kMeasured = 30 * kSecond;
constexpr Micros kCoolDown = 6 * kSecond;
// Load reports are between 0.2 and 2 s old.
constexpr Micros kReportLag = kSecond / 5;
constexpr Micros kReportPeriod = 9 * kSecond / 5;
constexpr Micros kEventPeriod = kSecond;
constexpr Micros kEventLag = kSecond / 5;
constexpr std::size_t kEventMemory = 4000;
constexpr Micros kTick = kSecond / 20;
constexpr Micros kSample = kSecond / 10;
// Probability that a caller's next call goes to the same node, because callers
// cache an address for a while.
constexpr double kSameNodeShare = 0.9;
constexpr std::int64_t kMaxAttempts = 3;
constexpr double kGapShare = 0.2;
// A session has four turns of 8 s each, with pauses of 8 s in between.
constexpr double kMeanSessionSeconds = 56;
constexpr Micros kFirstTurnsBy = 14 * kSecond;
// Hit rate of plain balancing with caches of 16384 blocks. The smaller caches
// of this benchmark give a lower rate, so the capacity of plain balancing is
// lower than the nominal one.
constexpr double kNominalHitShare = 0.57;
constexpr double kMeanPromptTokens = 3200;
constexpr double kMeanAnswerTokens = 235;

ZoneId ZoneName(std::size_t zone) {
  return ZoneId("zone-" + std::to_string(zone));
}

}  // namespace

double NominalRequestsPerSecond(const EngineSettings& engine) {
  const double step_share =
      engine.decode_base_millis / static_cast<double>(engine.batch_limit) +
      engine.decode_per_request_millis;
  const double prefill_millis = kMeanPromptTokens * (1 - kNominalHitShare) *
                                1000 / engine.prefill_tokens_per_second;
  return 1000 / (kMeanAnswerTokens * step_share + prefill_millis);
}

RoutingWorld::RoutingWorld(const RoutingScenario& scenario,
                           const PolicyFactory& policy,
                           std::uint64_t seed)
    : scenario_(scenario),
      workload_(WorkloadSettings(), seed),
      random_(SeededRandom(seed + 1000003)) {
  MakeReplicas();
  MakeNodes(policy);
  const double requests_per_second =
      scenario_.load * NominalRequestsPerSecond(EngineSettings()) * kReplicas;
  sessions_per_second_ = requests_per_second / workload_.mean_turns();
}

void RoutingWorld::MakeReplicas() {
  replicas_.resize(kReplicas);
  for (std::size_t i = 0; i < kReplicas; ++i) {
    Replica& replica = replicas_[i];
    replica.zone = i % kZones;
    EngineSettings settings;
    settings.id = EndpointId("replica-" + std::to_string(i));
    replica.endpoint = {.id = settings.id,
                        .group = GroupId(settings.id.value()),
                        .generation = settings.generation,
                        .model = ModelId("notes"),
                        .service = {},
                        .zone = ZoneName(replica.zone),
                        .address = {}};
    replica.engine = std::make_unique<EndpointModel>(events_, settings);
    replica_of_[settings.id] = i;
  }
}

void RoutingWorld::MakeNodes(const PolicyFactory& policy) {
  std::vector<ZoneDistance> distances;
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    distances.push_back({ZoneName(zone), scenario_.inter_zone_millis});
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    Node node;
    node.zone = i % kZones;
    node.policy = policy({.zone = ZoneName(node.zone),
                          .distances = distances,
                          .nodes = kNodes,
                          .seed = random_()});
    node.last_event.resize(kReplicas);
    for (const Replica& replica : replicas_) {
      node.policy->OnEndpointUp(events_.time(), replica.endpoint);
    }
    nodes_.push_back(std::move(node));
  }
}

RoutingFigures RoutingWorld::Run() {
  PublishLoads();
  TickNodes();
  SampleLoad();
  InjectFault();
  StartOngoingSessions();
  StartSessions();
  events_.RunUntil(kWarmUp + kMeasured + kCoolDown);
  return Figures();
}

void RoutingWorld::PublishLoads() {
  const bool has_events = nodes_.front().policy->uses_cache_events();
  for (std::size_t i = 0; i < kReplicas; ++i) {
    Replica& replica = replicas_[i];
    const auto first = static_cast<Micros>(DrawBelow(random_, kReportPeriod));
    replica.engine->PublishLoad(
        first, kReportPeriod, kReportLag, [this](const LoadReport& report) {
          for (Node& node : nodes_) {
            node.policy->OnLoadReport(events_.time(), report);
          }
        });
    if (!has_events) {
      continue;
    }
    replica.engine->set_on_cache_event(
        [&replica](std::int64_t sequence, bool stored, PrefixBlock block) {
          const auto kind =
              stored ? CacheEventKind::kStored : CacheEventKind::kEvicted;
          replica.events.push_back({sequence, kind, block});
          replica.next_event = sequence + 1;
          if (replica.events.size() > kEventMemory) {
            replica.events.pop_front();
          }
        });
    for (std::size_t node = 0; node < kNodes; ++node) {
      const auto start = static_cast<Micros>(DrawBelow(random_, kEventPeriod));
      events_.ScheduleAt(start, [this, node, i] { PollCacheEvents(node, i); });
    }
  }
}

void RoutingWorld::PollCacheEvents(std::size_t node, std::size_t replica) {
  events_.ScheduleAfter(
      kEventPeriod, [this, node, replica] { PollCacheEvents(node, replica); });
  Replica& source = replicas_[replica];
  if (source.engine->is_down() || source.events.empty()) {
    return;
  }
  std::int64_t& last = nodes_[node].last_event[replica];
  auto batch = std::make_shared<CacheEventBatch>();
  batch->first = source.events.front().sequence;
  batch->next = source.next_event;
  const bool is_lost = scenario_.fault == RoutingFault::kEventGaps &&
                       DrawUnit(random_) < kGapShare;
  if (is_lost) {
    // The engine dropped these events before the node polled them.
    last = source.next_event - 1;
    return;
  }
  const auto seen = static_cast<std::ptrdiff_t>(
      std::max<std::int64_t>(0, last + 1 - source.events.front().sequence));
  batch->events.assign(source.events.begin() + seen, source.events.end());
  batch->first =
      batch->events.empty() ? last + 1 : batch->events.front().sequence;
  last = source.next_event - 1;
  events_.ScheduleAfter(
      kEventLag, [this, node, batch, endpoint = source.endpoint] {
        nodes_[node].policy->OnCacheEvents(events_.time(), endpoint, *batch);
      });
}

void RoutingWorld::TickNodes() {
  for (Node& node : nodes_) {
    node.policy->Tick(events_.time());
  }
  events_.ScheduleAfter(kTick, [this] { TickNodes(); });
}

void RoutingWorld::SampleLoad() {
  events_.ScheduleAfter(kSample, [this] { SampleLoad(); });
  if (events_.now() < kWarmUp || events_.now() > kWarmUp + kMeasured) {
    return;
  }
  std::int64_t peak = 0;
  std::int64_t sum = 0;
  std::int64_t live = 0;
  std::int64_t slots = 0;
  for (const Replica& replica : replicas_) {
    if (!replica.engine->is_down()) {
      peak = std::max(peak, replica.engine->in_system());
      sum += replica.engine->in_system();
      slots += replica.engine->settings().batch_limit;
      ++live;
    }
  }
  occupancies_.push_back(static_cast<double>(sum) / static_cast<double>(slots));
  if (sum > 0) {
    peaks_.push_back(static_cast<double>(peak * live) /
                     static_cast<double>(sum));
  }
}

// Starts the sessions that exist in a steady state, each at a random point of
// its lifetime, because sessions last longer than the warm-up.
void RoutingWorld::StartOngoingSessions() {
  const auto sessions =
      static_cast<std::int64_t>(sessions_per_second_ * kMeanSessionSeconds);
  for (std::int64_t i = 0; i < sessions; ++i) {
    Session session = workload_.NewSession();
    const Session past = workload_.NewSession();
    const std::int64_t turns_left = session.turns_left;
    for (std::int64_t turn = 1; turn < past.turns_left; ++turn) {
      workload_.NextTurn(session);
    }
    session.turns_left = turns_left;
    const auto start = static_cast<Micros>(DrawBelow(random_, kFirstTurnsBy));
    events_.ScheduleAt(start,
                       [this, session] { StartTurn(session, PickLiveNode()); });
  }
}

void RoutingWorld::StartSessions() {
  events_.ScheduleAfter(workload_.TimeToNextSession(sessions_per_second_),
                        [this] {
                          if (events_.now() < kWarmUp + kMeasured) {
                            StartTurn(workload_.NewSession(), PickLiveNode());
                            StartSessions();
                          }
                        });
}

std::size_t RoutingWorld::PickLiveNode() {
  std::size_t node = DrawBelow(random_, kNodes);
  while (nodes_[node].is_down) {
    node = DrawBelow(random_, kNodes);
  }
  return node;
}

void RoutingWorld::StartTurn(Session session, std::size_t node) {
  if (nodes_[node].is_down || DrawUnit(random_) > kSameNodeShare) {
    node = PickLiveNode();
  }
  Turn turn = workload_.NextTurn(session);
  auto call = std::make_shared<Call>();
  call->session = session;
  call->node = node;
  call->answer_tokens = turn.answer_tokens;
  call->arrived = events_.now();
  call->is_measured = events_.now() >= kWarmUp;
  call->profile.contract = workload_.TeamContract(session.team);
  call->profile.target = ModelTarget{ModelId("notes"), {}};
  call->profile.prompt_tokens = TokenCount(turn.prompt_tokens);
  call->profile.prefix_blocks = std::move(turn.blocks);
  call->profile.arrived = events_.time();
  call->profile.deadline = events_.time() + Duration::Seconds(600);
  if (call->is_measured) {
    ++measured_;
  }
  events_.ScheduleAfter(MicrosFromMillis(scenario_.client_millis),
                        [this, call] { Dispatch(call); });
}

void RoutingWorld::Dispatch(const CallPointer& call) {
  const std::uint64_t attempt = next_attempt_++;
  const auto chosen = nodes_[call->node].policy->Dispatch(
      events_.time(), attempt, call->profile, call->excluded);
  if (!chosen.has_value()) {
    GiveUp(call);
    return;
  }
  const std::size_t replica = replica_of_.at(*chosen);
  waiting_[attempt] = call;
  events_.ScheduleAfter(
      MicrosFromMillis(NetworkMillis(call->node, replica)),
      [this, call, replica, attempt] { Arrive(call, replica, attempt); });
}

void RoutingWorld::Arrive(const CallPointer& call,
                          std::size_t replica,
                          std::uint64_t attempt) {
  const Micros delay = MicrosFromMillis(NetworkMillis(call->node, replica));
  const auto policy = [this, call]() -> RoutingPolicy& {
    return *nodes_[call->node].policy;
  };
  EngineRequest request;
  request.id = attempt;
  request.prompt_tokens = call->profile.prompt_tokens.value();
  request.prefix_blocks = call->profile.prefix_blocks;
  request.generated_tokens = call->answer_tokens;
  request.on_first_token = [=, this](std::int64_t cached) {
    events_.ScheduleAfter(delay, [=, this] {
      policy().OnFirstByte(events_.time(), attempt);
      OnFirstToken(call, cached);
    });
  };
  request.on_finished = [=, this] {
    events_.ScheduleAfter(delay, [=, this] {
      policy().OnFinished(events_.time(), attempt, call->answer_tokens);
      waiting_.erase(attempt);
      OnAnswered(call);
    });
  };
  request.on_failed = [=, this] {
    events_.ScheduleAfter(delay, [=, this] {
      policy().OnFailed(events_.time(), attempt);
      waiting_.erase(attempt);
      OnAttemptFailed(call, replica);
    });
  };
  replicas_[replica].engine->Submit(std::move(request));
}

void RoutingWorld::OnFirstToken(const CallPointer& call, std::int64_t cached) {
  if (!call->is_measured || call->has_first_byte) {
    return;
  }
  call->has_first_byte = true;
  prompt_tokens_ += call->profile.prompt_tokens.value();
  cached_tokens_ += cached;
  const Micros at_client =
      events_.now() + MicrosFromMillis(scenario_.client_millis);
  ttft_millis_.push_back(static_cast<double>(at_client - call->arrived) / 1000);
}

void RoutingWorld::OnAnswered(const CallPointer& call) {
  if (call->is_measured) {
    answered_tokens_ += call->answer_tokens;
  }
  if (call->session.turns_left > 0) {
    events_.ScheduleAfter(workload_.ThinkTime(), [this, call] {
      if (events_.now() < kWarmUp + kMeasured) {
        StartTurn(call->session, call->node);
      }
    });
  }
}

// The node resumes a stream that broke after its first byte at another
// endpoint. Such a stream is not counted again in the time to first token.
void RoutingWorld::OnAttemptFailed(const CallPointer& call,
                                   std::size_t replica) {
  call->excluded.push_back(replicas_[replica].endpoint.id);
  const bool is_last =
      static_cast<std::int64_t>(call->excluded.size()) >= kMaxAttempts;
  if (is_last || nodes_[call->node].is_down) {
    GiveUp(call);
    return;
  }
  Dispatch(call);
}

void RoutingWorld::GiveUp(const CallPointer& call) {
  failed_ += call->is_measured && !call->has_first_byte ? 1 : 0;
}

double RoutingWorld::NetworkMillis(std::size_t node,
                                   std::size_t replica) const {
  return nodes_[node].zone == replicas_[replica].zone
             ? kIntraZoneMillis
             : scenario_.inter_zone_millis;
}

RoutingFigures RoutingWorld::Figures() {
  // For calls that still wait, the time so far is a lower bound of their time
  // to first token.
  for (const auto& [attempt, call] : waiting_) {
    if (call->is_measured && !call->has_first_byte) {
      ttft_millis_.push_back(
          static_cast<double>(events_.now() - call->arrived) / 1000);
    }
  }
  const double seconds = static_cast<double>(kMeasured) / kSecond;
  const auto measured =
      static_cast<double>(std::max<std::int64_t>(1, measured_));
  const auto prompts =
      static_cast<double>(std::max<std::int64_t>(1, prompt_tokens_));
  return {.ttft_p50 = Percentile(ttft_millis_, 0.50),
          .ttft_p95 = Percentile(ttft_millis_, 0.95),
          .ttft_p99 = Percentile(ttft_millis_, 0.99),
          .hit_share = static_cast<double>(cached_tokens_) / prompts,
          .peak_over_mean = Percentile(peaks_, 0.99),
          .failed_share = static_cast<double>(failed_) / measured,
          .requests_per_second = measured / seconds,
          .mean_prompt_tokens =
              prompts / static_cast<double>(
                            std::max<std::size_t>(1, ttft_millis_.size())),
          .mean_occupancy = Mean(occupancies_),
          .answered_tokens_per_second =
              static_cast<double>(answered_tokens_) / seconds};
}

}  // namespace gcw::bench
