#include "protocol/route_explanation_json.h"

#include <cmath>
#include <utility>

#include <boost/json.hpp>

#include "protocol/json_writer.h"
#include "protocol/urgency_names.h"

namespace gcw {
namespace {

constexpr ChoiceNames<ReplicaExclusion, 7> kExclusions{{
    {ReplicaExclusion::kEvacuated, "evacuated"},
    {ReplicaExclusion::kStalled, "stalled"},
    {ReplicaExclusion::kBackoff, "backoff"},
    {ReplicaExclusion::kHeld, "held"},
    {ReplicaExclusion::kLimited, "limited"},
    {ReplicaExclusion::kCold, "cold"},
    {ReplicaExclusion::kFull, "full"},
}};

// Leaves out digits that say nothing to operators.
boost::json::value Rounded(double number) {
  return static_cast<std::int64_t>(std::llround(number));
}

// Returns null for an empty id.
template <typename Id>
boost::json::value OptionalId(const Id& id) {
  return id.empty() ? boost::json::value() : ToJson(id);
}

boost::json::object EncodeCandidate(const ReplicaExplanation& replica) {
  boost::json::object encoded{
      {"vm", ToJson(replica.vm)},     {"group", OptionalId(replica.group)},
      {"zone", ToJson(replica.zone)}, {"running", nullptr},
      {"waiting", nullptr},           {"slots", replica.slots},
      {"load_age_ms", nullptr}};
  if (replica.load_age) {
    encoded["running"] = replica.running;
    encoded["waiting"] = replica.waiting;
    encoded["load_age_ms"] = ToJson(*replica.load_age);
  }
  encoded["expected_requests"] = Rounded(replica.expected_requests);
  encoded["expected_wait_ms"] = Rounded(replica.expected_wait_ms);
  encoded["is_preferred"] = replica.is_preferred;
  encoded["excluded_by"] = replica.exclusion
                               ? ChoiceToJson(*replica.exclusion, kExclusions)
                               : boost::json::value();
  encoded["chosen_draws"] = replica.chosen_draws;
  return encoded;
}

// Returns why the request has its urgency; null if it has none.
boost::json::value EncodeUrgencyReason(const RouteExplanation& explanation) {
  if (!explanation.urgency) {
    return nullptr;
  }
  return ToJson(explanation.deferral ? DeferralReasonName(*explanation.deferral)
                                     : "within_window");
}

}  // namespace

std::string EncodeRouteExplanation(const RouteExplanation& explanation) {
  boost::json::array shares;
  for (const ServiceShare& share : explanation.shares) {
    shares.push_back(boost::json::object{{"service", ToJson(share.service)},
                                         {"weight", share.weight}});
  }
  boost::json::array candidates;
  for (const ReplicaExplanation& replica : explanation.selection.candidates) {
    candidates.push_back(EncodeCandidate(replica));
  }
  const auto& refusal = explanation.refusal;
  boost::json::object encoded{
      {"version", ToJson(explanation.version)},
      {"route", explanation.route.empty() ? boost::json::value()
                                          : ToJson(explanation.route)},
      {"shares", std::move(shares)},
      {"service", OptionalId(explanation.service)},
      {"customer", OptionalId(explanation.customer)},
      {"rank", ToJson(explanation.rank)},
      {"urgency", explanation.urgency
                      ? ChoiceToJson(*explanation.urgency, kUrgencyNames)
                      : boost::json::value()},
      {"urgency_reason", EncodeUrgencyReason(explanation)},
      {"verdict", refusal ? "refuse" : "send"},
      {"reason",
       refusal ? ToJson(RefusalKindName(*refusal)) : boost::json::value()},
      {"relay_node", explanation.relay_node ? ToJson(*explanation.relay_node)
                                            : boost::json::value()},
      {"draws", explanation.selection.draws},
      {"candidates", std::move(candidates)}};
  return boost::json::serialize(encoded);
}

}  // namespace gcw
