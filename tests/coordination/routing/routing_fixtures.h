#ifndef TESTS_COORDINATION_ROUTING_ROUTING_FIXTURES_H_
#define TESTS_COORDINATION_ROUTING_ROUTING_FIXTURES_H_

#include <memory>
#include <string>

#include "coordination/coordination.h"

namespace gcw {

inline Time Millis(std::int64_t millis) {
  return Time::FromMillis(millis);
}

inline Endpoint ModelEndpoint(const std::string& id,
                              const std::string& zone = "north",
                              std::int64_t generation = 1) {
  return {.id = EndpointId(id),
          .group = GroupId(id),
          .generation = Generation(generation),
          .model = ModelId("notes"),
          .service = {},
          .zone = ZoneId(zone),
          .address = {}};
}

inline LoadReport Report(const std::string& id,
                         std::int64_t taken_at,
                         std::int64_t running,
                         std::int64_t generation = 1) {
  return {.endpoint = EndpointId(id),
          .generation = Generation(generation),
          .taken_at = Millis(taken_at),
          .queued_requests = 0,
          .running_requests = running,
          .batch_limit = 16,
          .queued_prompt_tokens = {},
          .cache_used = {},
          .cache_capacity = {}};
}

inline RequestProfile ModelRequest(Time now = Millis(0)) {
  RequestProfile profile;
  profile.contract = ContractId("team");
  profile.target = ModelTarget{ModelId("notes"), {}};
  profile.prompt_tokens = TokenCount(160);
  profile.arrived = now;
  profile.deadline = now + Duration::Seconds(60);
  return profile;
}

inline std::unique_ptr<Router> NewRouter(RouterSettings settings = {}) {
  settings.zone = ZoneId("north");
  settings.prefix_index.max_blocks = 4096;
  return RouterBuilder()
      .SetSettings(std::move(settings))
      .SetRandom(SeededRandom(7))
      .Build();
}

inline EndpointId ChosenBy(Router& router,
                           Time now,
                           const RequestProfile& profile) {
  const auto route = router.Choose(now, profile, {});
  return IsOk(route) ? ValueOf(route).endpoint->id : EndpointId();
}

}  // namespace gcw

#endif  // TESTS_COORDINATION_ROUTING_ROUTING_FIXTURES_H_
