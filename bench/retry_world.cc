#include "bench/retry_world.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace gcw::bench {
namespace {

constexpr std::size_t kEngines = 65;
constexpr std::size_t kNodes = 8;
constexpr Micros kNetworkDelay = kSecond / 1000;
constexpr Micros kMeasuredFrom = 12 * kSecond;
constexpr Micros kFaultAt = 25 * kSecond;
constexpr Micros kFaultEnd = 45 * kSecond;
constexpr Micros kEnd = 116 * kSecond;
// Calls continue after the fault until refused callers have had time to retry.
constexpr Micros kLastCall = 110 * kSecond;
constexpr Micros kReportPeriod = 9 * kSecond / 5;
constexpr Micros kReportLag = kSecond / 5;
constexpr Micros kTick = kSecond / 20;
constexpr Duration kPatience = Duration::Seconds(6);
constexpr std::int64_t kMaxSends = 4;
constexpr std::int64_t kPromptTokens = 600;
// Parameters of the log-normal answer length, whose mean is 128 tokens.
constexpr double kAnswerLogMedian = 4.6;
constexpr double kAnswerLogDeviation = 0.7;
constexpr double kMeanAnswerTokens = 128;
constexpr Micros kWindow = 5 * kSecond;
constexpr Micros kLastSpan = kLastCall - 4 * kWindow;
// A window counts as normal if at least this fraction of new calls is answered
// at the first send.
constexpr double kNormalShare = 0.98;
constexpr Micros kNormalStep = kSecond / 2;
// Later windows are not used because answers to the last calls are still
// pending at the end.
constexpr Micros kLastWindow = kLastCall - 2 * kWindow;

double CapacityPerReplica(const EngineSettings& engine) {
  const double step_share =
      engine.decode_base_millis / static_cast<double>(engine.batch_limit) +
      engine.decode_per_request_millis;
  const double prefill_millis =
      kPromptTokens * 1000.0 / engine.prefill_tokens_per_second;
  return 1000 / (kMeanAnswerTokens * step_share + prefill_millis);
}

}  // namespace

RetryWorld::RetryWorld(const RetryScenario& scenario,
                       const RetryPolicy& policy,
                       std::uint64_t seed)
    : scenario_(scenario), policy_(policy), random_(SeededRandom(seed)) {
  MakeFleet();
  calls_per_second_ =
      scenario_.load * CapacityPerReplica(EngineSettings()) * kEngines;
}

void RetryWorld::MakeFleet() {
  for (std::size_t node = 0; node < kNodes; ++node) {
    nodes_.push_back(
        {.router = RouterBuilder().SetRandom(SeededRandom(random_())).Build(),
         .budget = std::make_unique<RetryBudget>(RetryBudgetSettings()),
         .planner = std::make_unique<RetryAfterPlanner>(
             RetryAfterSettings(), SeededRandom(random_()))});
    nodes_.back().router->SetNodeCount(kNodes);
  }
  is_failing_.resize(kEngines);
  for (std::size_t i = 0; i < kEngines; ++i) {
    EngineSettings settings;
    settings.id = EndpointId("replica-" + std::to_string(i));
    engines_.push_back(std::make_unique<EndpointModel>(events_, settings));
    for (Node& node : nodes_) {
      node.router->OnEndpointUp(events_.time(),
                                {.id = settings.id,
                                 .group = GroupId(settings.id.value()),
                                 .generation = settings.generation,
                                 .model = ModelId("notes"),
                                 .service = {},
                                 .zone = ZoneId("zone"),
                                 .address = {}});
    }
  }
}

RetryFigures RetryWorld::Run() {
  PublishLoads();
  TickNodes();
  ScheduleCalls();
  events_.ScheduleAt(kFaultAt, [this] {
    for (std::size_t i = 0; i < kEngines; i += 3) {
      is_failing_[i] = true;
      engines_[i]->GoDown();
    }
  });
  events_.ScheduleAt(kFaultEnd, [this] {
    for (std::size_t i = 0; i < kEngines; i += 3) {
      is_failing_[i] = false;
      engines_[i]->Restart();
    }
  });
  events_.RunUntil(kEnd);
  std::int64_t generated = 0;
  for (const auto& engine : engines_) {
    generated += engine->generated_tokens();
  }
  return {.goodput_before = Goodput(kMeasuredFrom, kFaultAt),
          .goodput_during = Goodput(kFaultAt + kWindow, kFaultEnd),
          .goodput_after = Goodput(kLastSpan, kLastCall),
          .answered_eventually = AnsweredEventually(kFaultAt, kFaultEnd),
          .attempts_per_call = static_cast<double>(attempts_in_fault_) /
                               static_cast<double>(calls_in_fault_),
          .wasted_share = 1 - static_cast<double>(useful_tokens_) /
                                  static_cast<double>(generated),
          .recovery_seconds = RecoverySeconds()};
}

void RetryWorld::PublishLoads() {
  for (const auto& engine : engines_) {
    const auto first = static_cast<Micros>(DrawBelow(random_, kReportPeriod));
    engine->PublishLoad(first, kReportPeriod, kReportLag,
                        [this](const LoadReport& report) {
                          for (Node& node : nodes_) {
                            node.router->OnLoadReport(events_.time(), report);
                          }
                        });
  }
}

void RetryWorld::TickNodes() {
  const ModelTarget target{ModelId("notes"), {}};
  for (Node& node : nodes_) {
    node.router->Tick(events_.time());
    node.planner->SetReturnRate(
        node.router->SpareRequestsPerSecond(events_.time(), target));
  }
  events_.ScheduleAfter(kTick, [this] { TickNodes(); });
}

void RetryWorld::ScheduleCalls() {
  const double wait_millis =
      -std::log(1 - DrawUnit(random_)) * 1000 / calls_per_second_;
  events_.ScheduleAfter(MicrosFromMillis(wait_millis), [this] {
    if (events_.now() >= kLastCall) {
      return;
    }
    calls_.push_back(std::make_shared<Call>());
    calls_.back()->created_at = events_.now();
    if (events_.now() >= kFaultAt && events_.now() < kFaultEnd) {
      ++calls_in_fault_;
    }
    SendCall(calls_.back());
    ScheduleCalls();
  });
}

void RetryWorld::SendCall(const std::shared_ptr<Call>& call) {
  ++call->sends;
  auto send = std::make_shared<Send>();
  send->call = call;
  send->node = DrawBelow(random_, kNodes);
  send->answer_tokens = AnswerTokens();
  send->profile.contract =
      ContractId("team-" + std::to_string(DrawBelow(random_, 10)));
  send->profile.target = ModelTarget{ModelId("notes"), {}};
  send->profile.prompt_tokens = TokenCount(kPromptTokens);
  send->profile.arrived = events_.time();
  // Without `passes_deadlines`, nodes do not know how long the caller waits.
  send->profile.deadline =
      events_.time() +
      (policy_.passes_deadlines ? kPatience : Duration::Seconds(3600));
  nodes_[send->node].budget->OnFirstAttempt(events_.time(),
                                            send->profile.contract);
  events_.ScheduleAfter(kPatience.millis() * 1000,
                        [this, send] { OnDeadline(send); });
  Dispatch(send);
}

std::int64_t RetryWorld::AnswerTokens() {
  const double radius = std::sqrt(-2 * std::log(1 - DrawUnit(random_)));
  const double angle = 2 * std::numbers::pi * DrawUnit(random_);
  const double tokens = std::exp(
      kAnswerLogMedian + kAnswerLogDeviation * radius * std::cos(angle));
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(tokens));
}

void RetryWorld::Dispatch(const SendPointer& send) {
  Router& router = *nodes_[send->node].router;
  const auto result =
      router.Choose(events_.time(), send->profile, send->excluded);
  if (!IsOk(result)) {
    Refuse(send, ErrorOf(result));
    return;
  }
  ++send->attempts;
  if (events_.now() >= kFaultAt && events_.now() < kFaultEnd) {
    ++attempts_in_fault_;
  }
  const Route& route = ValueOf(result);
  send->ticket = router.OnDispatched(events_.time(), route, send->profile);
  send->attempt = next_attempt_++;
  send->replica = static_cast<std::size_t>(route.slot.value());
  events_.ScheduleAfter(kNetworkDelay, [this, send] { RunAtEngine(send); });
}

void RetryWorld::RunAtEngine(const SendPointer& send) {
  const DispatchTicket ticket = send->ticket;
  if (is_failing_[send->replica]) {
    events_.ScheduleAfter(
        MicrosFromMillis(scenario_.fail_after_millis) + kNetworkDelay,
        [this, send, ticket] { OnFailed(send, ticket); });
    return;
  }
  EngineRequest request;
  request.id = send->attempt;
  request.prompt_tokens = kPromptTokens;
  request.generated_tokens = send->answer_tokens;
  request.on_first_token = [this, send](std::int64_t /*cached*/) {
    events_.ScheduleAfter(kNetworkDelay, [this, send] { OnFirstToken(send); });
  };
  request.on_finished = [this, send, ticket] {
    events_.ScheduleAfter(kNetworkDelay,
                          [this, send, ticket] { OnFinished(send, ticket); });
  };
  request.on_failed = [this, send, ticket] {
    events_.ScheduleAfter(kNetworkDelay,
                          [this, send, ticket] { OnFailed(send, ticket); });
  };
  engines_[send->replica]->Submit(std::move(request));
}

void RetryWorld::OnFirstToken(const SendPointer& send) {
  nodes_[send->node].router->OnFirstByte(events_.time(), send->ticket);
  send->has_first_byte = !send->is_over;
}

void RetryWorld::OnFinished(const SendPointer& send, DispatchTicket ticket) {
  nodes_[send->node].router->OnFinished(events_.time(), ticket,
                                        TokenCount(send->answer_tokens));
  if (send->is_over) {
    return;
  }
  send->is_over = true;
  useful_tokens_ += send->answer_tokens;
  send->call->answered = events_.now();
}

void RetryWorld::OnFailed(const SendPointer& send, DispatchTicket ticket) {
  nodes_[send->node].router->OnFailed(events_.time(), ticket);
  if (send->is_over) {
    return;
  }
  // The node does not retry a stream that broke after its first byte; the
  // caller must send the request again.
  if (!send->has_first_byte && MayRetry(send)) {
    send->excluded.push_back(engines_[send->replica]->settings().id);
    Dispatch(send);
    return;
  }
  Refuse(send, RefusalKind::kRetryBudget);
}

bool RetryWorld::MayRetry(const SendPointer& send) {
  if (!policy_.has_budget) {
    return send->attempts < policy_.max_attempts;
  }
  const FailedAttempt failed{.attempts = send->attempts,
                             .was_not_run = false,
                             .expected_first_byte = Duration::Millis(100)};
  return nodes_[send->node].budget->TrySpend(events_.time(), send->profile,
                                             failed) == RetryVerdict::kAllowed;
}

void RetryWorld::OnDeadline(const SendPointer& send) {
  if (send->is_over || send->has_first_byte) {
    return;
  }
  if (policy_.passes_deadlines) {
    nodes_[send->node].router->OnCancelled(events_.time(), send->ticket);
    engines_[send->replica]->Cancel(send->attempt);
  }
  Refuse(send, RefusalKind::kDeadline);
}

void RetryWorld::Refuse(const SendPointer& send, RefusalKind kind) {
  send->is_over = true;
  const Duration after =
      policy_.plans_retry_after
          ? nodes_[send->node].planner->Plan(events_.time(), kind)
          : Duration();
  ScheduleRetry(send->call, after);
}

void RetryWorld::ScheduleRetry(const std::shared_ptr<Call>& call,
                               Duration after) {
  if (call->sends < kMaxSends) {
    events_.ScheduleAfter(after.millis() * 1000 + 2 * kNetworkDelay,
                          [this, call] { SendCall(call); });
  }
}

double RetryWorld::Goodput(Micros from, Micros to) const {
  const auto answered =
      std::ranges::count_if(calls_, [from, to](const auto& call) {
        return call->answered >= from && call->answered < to;
      });
  const double seconds = static_cast<double>(to - from) / kSecond;
  return static_cast<double>(answered) / (calls_per_second_ * seconds);
}

double RetryWorld::AnsweredAtFirstSend(Micros from, Micros to) const {
  std::int64_t created_at = 0;
  std::int64_t answered = 0;
  for (const auto& call : calls_) {
    if (call->created_at >= from && call->created_at < to) {
      ++created_at;
      answered += call->answered > 0 && call->sends == 1 ? 1 : 0;
    }
  }
  return static_cast<double>(answered) /
         static_cast<double>(std::max<std::int64_t>(1, created_at));
}

double RetryWorld::AnsweredEventually(Micros from, Micros to) const {
  std::int64_t created_at = 0;
  std::int64_t answered = 0;
  for (const auto& call : calls_) {
    if (call->created_at >= from && call->created_at < to) {
      ++created_at;
      answered += call->answered > 0 ? 1 : 0;
    }
  }
  return static_cast<double>(answered) /
         static_cast<double>(std::max<std::int64_t>(1, created_at));
}

double RetryWorld::RecoverySeconds() const {
  Micros from = kFaultEnd;
  while (from <= kLastWindow &&
         AnsweredAtFirstSend(from, from + kWindow) < kNormalShare) {
    from += kNormalStep;
  }
  return static_cast<double>(from - kFaultEnd) / kSecond;
}

}  // namespace gcw::bench
