#include "transport/node_metrics.h"

namespace gcw {
namespace {

std::string ModuleName(NodeModule module) {
  switch (module) {
    case NodeModule::kNodeLease:
      return "node_lease";
    case NodeModule::kRoleLeases:
      return "role_leases";
    case NodeModule::kMembership:
      return "membership";
    case NodeModule::kConfiguration:
      return "configuration";
    case NodeModule::kOnceOwner:
      return "once_owner";
    case NodeModule::kGroupController:
      return "group_keeper";
    case NodeModule::kServingGate:
      return "serving_gate";
    case NodeModule::kRequests:
      return "requests";
  }
  return "unknown";
}

}  // namespace

NodeMetrics::NodeMetrics(Metrics& metrics)
    : outcomes_(metrics.AddCounter(
          {.name = "gcw_requests_total",
           .help = "Requests by final outcome and, where refused, the reason.",
           .label_names = {"outcome", "reason"}})),
      attempts_(metrics.AddCounter({.name = "gcw_attempts_total",
                                    .help = "Ended attempts by how they ended.",
                                    .label_names = {"end"}})),
      store_calls_(metrics.AddCounter(
          {.name = "gcw_store_calls_total",
           .help = "Calls to the key-value service by the asking module.",
           .label_names = {"module"}})),
      retries_(metrics
                   .AddCounter({.name = "gcw_retries_total",
                                .help = "Attempts after a request's first one.",
                                .label_names = {}})
                   .With({})),
      first_token_(metrics
                       .AddDistribution(
                           {.name = "gcw_first_token_ms",
                            .help = "Arrival of a request to its first token.",
                            .label_names = {}},
                           BucketRange{})
                       .With({})),
      token_gap_(metrics
                     .AddDistribution({.name = "gcw_token_gap_ms",
                                       .help = "Time between tokens.",
                                       .label_names = {}},
                                      BucketRange{})
                     .With({})) {}

void NodeMetrics::OnAction(const NodeAction& action) {
  std::visit(
      Overloaded{
          [this](const DispatchAttempt& dispatch) {
            if (++dispatch_counts_[dispatch.request] > 1) {
              retries_.Add();
            }
          },
          [this](const RespondRefused& told) {
            CountOutcome("refused", RefusalKindName(told.refusal.kind));
          },
          [this](const RespondOutcomeUnknown&) { CountOutcome("unknown", ""); },
          [this](const RespondStreamBroken&) { CountOutcome("broken", ""); },
          [this](const RespondPreempted&) { CountOutcome("preempted", ""); },
          [this](const RespondReplay&) { CountOutcome("replayed", ""); },
          [this](const RespondDuplicate& told) {
            CountOutcome("earlier_send", told.earlier_ran ? "ran" : "unknown");
          },
          [this](const CallStore& call) {
            store_calls_.With({ModuleName(call.module)}).Add();
          },
          [](const auto&) {}},
      action);
}

void NodeMetrics::OnEvent(const NodeEvent& event) {
  if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
    OnAttemptEnd(ended->end);
  } else if (std::holds_alternative<CallerDisconnected>(event)) {
    CountOutcome("caller_gone", "");
  }
}

void NodeMetrics::OnAttemptEnd(const AttemptEnd& end) {
  std::visit(
      Overloaded{
          [this](const AttemptAnswered&) {
            CountOutcome("answered", "");
            attempts_.With({"answered"}).Add();
          },
          [this](const AttemptRefused&) { attempts_.With({"refused"}).Add(); },
          [this](const AttemptFailed& failed) {
            attempts_.With({std::string(AttemptFailureKindName(failed.kind))})
                .Add();
          }},
      end);
}

void NodeMetrics::CountOutcome(std::string_view outcome,
                               std::string_view reason) {
  outcomes_.With({std::string(outcome), std::string(reason)}).Add();
}

}  // namespace gcw
