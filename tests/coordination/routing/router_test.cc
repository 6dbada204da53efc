#include "coordination/routing/router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/coordination/routing/routing_fixtures.h"

namespace gcw {
namespace {

// Dispatches `count` requests at `now` and returns their number by endpoint.
std::map<std::string, int> DispatchMany(Router& router, Time now, int count) {
  std::map<std::string, int> sent;
  for (int i = 0; i < count; ++i) {
    const RequestProfile profile = ModelRequest(now);
    const auto route = router.Choose(now, profile, {});
    router.OnDispatched(now, ValueOf(route), profile);
    ++sent[ValueOf(route).endpoint->id.value()];
  }
  return sent;
}

TEST(RouterTest, RefusesUnknownModelAndMissingEndpoint) {
  const auto router = NewRouter();
  EXPECT_EQ(ErrorOf(router->Choose(Millis(0), ModelRequest(), {})),
            RefusalKind::kUnknownModel);
  router->OnEndpointUp(Millis(0), ModelEndpoint("a"));
  router->OnEndpointDown(Millis(0), EndpointId("a"));
  EXPECT_EQ(ErrorOf(router->Choose(Millis(0), ModelRequest(), {})),
            RefusalKind::kNoEndpoint);
}

TEST(RouterTest, PrefersThePrefixHolderUnlessItIsFull) {
  const auto router = NewRouter();
  for (const char* id : {"a", "b", "c"}) {
    router->OnEndpointUp(Millis(0), ModelEndpoint(id));
    router->OnLoadReport(Millis(0), Report(id, 0, 4));
  }
  RequestProfile profile = ModelRequest();
  profile.prompt_tokens = TokenCount(3200);
  for (PrefixBlock block = 1; block <= 200; ++block) {
    profile.prefix_blocks.push_back(block);
  }
  const auto first = router->Choose(Millis(10), profile, {});
  const EndpointId holder = ValueOf(first).endpoint->id;
  const auto ticket = router->OnDispatched(Millis(10), ValueOf(first), profile);
  router->OnFirstByte(Millis(100), ticket);
  EXPECT_EQ(ChosenBy(*router, Millis(200), profile), holder);
  router->OnLoadReport(Millis(300), Report(holder.value(), 250, 40));
  EXPECT_NE(ChosenBy(*router, Millis(300), profile), holder);
}

// Guards against a herd: a report shows one endpoint idle, many requests arrive
// before its next report, and every decision trusts the same old report, so
// that one queue grows while other endpoints idle.
TEST(RouterTest, OldReportDoesNotCauseAHerd) {
  const auto router = NewRouter();
  for (int i = 0; i < 10; ++i) {
    const std::string id = "e" + std::to_string(i);
    router->OnEndpointUp(Millis(0), ModelEndpoint(id));
    router->OnLoadReport(Millis(0), Report(id, 0, i == 0 ? 0 : 8));
  }
  const auto sent = DispatchMany(*router, Millis(100), 60);
  EXPECT_LE(sent.at("e0"), 16);
  EXPECT_EQ(sent.size(), 10U);
}

// Guards against an endpoint that gets more than its share right after a
// report: the report was taken before some dispatches but arrives after them,
// and replaces the estimate that counted them.
TEST(RouterTest, ReportKeepsDispatchesSentAfterIt) {
  struct Case {
    int requests;
    std::int64_t tokens;
  };
  // The cases are many requests without a prompt and one long prompt.
  for (const Case sent : {Case{16, 0}, Case{1, 30000}}) {
    const auto router = NewRouter();
    for (const char* id : {"a", "b"}) {
      router->OnEndpointUp(Millis(0), ModelEndpoint(id));
      router->OnLoadReport(Millis(0), Report(id, 0, 2));
    }
    RequestProfile profile = ModelRequest(Millis(1000));
    profile.prompt_tokens = TokenCount(sent.tokens);
    const std::vector<EndpointId> excluded = {EndpointId("b")};
    for (int i = 0; i < sent.requests; ++i) {
      const auto route = router->Choose(Millis(1000), profile, excluded);
      router->OnDispatched(Millis(1000), ValueOf(route), profile);
    }
    router->OnLoadReport(Millis(1200), Report("a", 900, 2));
    // One choice could succeed by a lucky draw.
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(ChosenBy(*router, Millis(1200), profile), EndpointId("b"));
    }
    // A report that arrives out of order must not replace the newer one.
    router->OnLoadReport(Millis(1300), Report("b", 1250, 90));
    router->OnLoadReport(Millis(1300), Report("b", 800, 0));
    EXPECT_EQ(ChosenBy(*router, Millis(1300), ModelRequest(Millis(1300))),
              EndpointId("a"));
  }
}

// Guards against state that is keyed by endpoint id alone: after a group was
// rebuilt, late results and reports of the old generation would leave the
// endpoint without requests or subtract the old load twice.
TEST(RouterTest, ANewGenerationStartsWithoutHistory) {
  const auto router = NewRouter();
  router->OnEndpointUp(Millis(0), ModelEndpoint("a"));
  const RequestProfile profile = ModelRequest();
  const auto route = router->Choose(Millis(0), profile, {});
  const auto ticket = router->OnDispatched(Millis(0), ValueOf(route), profile);
  router->OnEndpointUp(Millis(10), ModelEndpoint("a", "north", 2));
  EXPECT_EQ(router->Endpoints(Millis(10))[0].own_in_flight, 0);
  router->OnFailed(Millis(20), ticket);
  router->OnLoadReport(Millis(20), Report("a", 15, 40, 1));
  const EndpointStatus view = router->Endpoints(Millis(20))[0];
  EXPECT_EQ(view.own_in_flight, 0);
  EXPECT_FALSE(view.has_report);
  EXPECT_EQ(view.backing_off_until, Time());
  // A route chosen before the change refers to the old generation.
  router->OnDispatched(Millis(30), ValueOf(route), profile);
  EXPECT_EQ(router->Endpoints(Millis(30))[0].own_in_flight, 0);
}

// Guards against an endpoint that fails each request within a millisecond and
// therefore reports no load: choosing the least loaded endpoint would send it
// all requests.
TEST(RouterTest, FastFailingEndpointBacksOffAndGetsOneTrial) {
  const auto router = NewRouter();
  for (const char* id : {"bad", "good"}) {
    router->OnEndpointUp(Millis(0), ModelEndpoint(id));
  }
  router->OnLoadReport(Millis(0), Report("bad", 0, 0));
  router->OnLoadReport(Millis(0), Report("good", 0, 12));
  const RequestProfile profile = ModelRequest();
  const auto route = router->Choose(Millis(0), profile, {});
  ASSERT_EQ(ValueOf(route).endpoint->id, EndpointId("bad"));
  router->OnFailed(Millis(1),
                   router->OnDispatched(Millis(0), ValueOf(route), profile));
  EXPECT_EQ(DispatchMany(*router, Millis(2), 5).count("bad"), 0U);
  EXPECT_EQ(DispatchMany(*router, Millis(600), 5)["bad"], 1);
}

// Guards against a pool that tries no endpoint any more after a temporary fault
// of the fabric made all of them fail and back off.
TEST(RouterTest, TriesTheBestEndpointWhenAllBackOff) {
  const auto router = NewRouter();
  for (const char* id : {"a", "b"}) {
    router->OnEndpointUp(Millis(0), ModelEndpoint(id));
  }
  for (int i = 0; i < 4; ++i) {
    const RequestProfile profile = ModelRequest();
    const auto route = router->Choose(Millis(i), profile, {});
    ASSERT_TRUE(IsOk(route));
    router->OnFailed(Millis(i),
                     router->OnDispatched(Millis(i), ValueOf(route), profile));
  }
  EXPECT_TRUE(IsOk(router->Choose(Millis(5), ModelRequest(), {})));
}

// Guards against a preference for the own zone that is a strict rule instead of
// a cost: callers of a full or lost zone would wait or fail while other zones
// idle.
TEST(RouterTest, SpillsOverFromAFullOrLostZone) {
  RouterSettings settings;
  settings.distances = {{ZoneId("south"), 1.5}};
  const auto router = NewRouter(settings);
  router->OnEndpointUp(Millis(0), ModelEndpoint("n", "north"));
  router->OnEndpointUp(Millis(0), ModelEndpoint("s", "south"));
  router->OnLoadReport(Millis(0), Report("n", 0, 16));
  router->OnLoadReport(Millis(0), Report("s", 0, 4));
  EXPECT_EQ(ChosenBy(*router, Millis(10), ModelRequest()), EndpointId("s"));
  router->OnLoadReport(Millis(20), Report("n", 15, 4));
  router->OnEndpointDown(Millis(30), EndpointId("n"));
  EXPECT_EQ(ChosenBy(*router, Millis(40), ModelRequest()), EndpointId("s"));
}

// Guards against a paused endpoint that keeps getting requests: its last report
// shows it idle, requests to it bring no first byte, and none of them fails.
TEST(RouterTest, AvoidsEndpointWithOverdueFirstByte) {
  const auto router = NewRouter();
  for (const char* id : {"paused", "well"}) {
    router->OnEndpointUp(Millis(0), ModelEndpoint(id));
  }
  router->OnLoadReport(Millis(0), Report("paused", 0, 0));
  router->OnLoadReport(Millis(0), Report("well", 0, 12));
  const RequestProfile profile = ModelRequest();
  const auto route = router->Choose(Millis(0), profile, {});
  ASSERT_EQ(ValueOf(route).endpoint->id, EndpointId("paused"));
  router->OnDispatched(Millis(0), ValueOf(route), profile);
  router->Tick(Millis(2000));
  EXPECT_EQ(ChosenBy(*router, Millis(2000), profile), EndpointId("well"));
}

TEST(RouterTest, RefusesRequestsThatWouldMissTheirDeadline) {
  const auto router = NewRouter();
  router->OnEndpointUp(Millis(0), ModelEndpoint("a"));
  router->OnLoadReport(Millis(0), Report("a", 0, 64));
  RequestProfile profile = ModelRequest();
  profile.deadline = Millis(500);
  EXPECT_EQ(ErrorOf(router->Choose(Millis(0), profile, {})),
            RefusalKind::kDeadline);
}

// For any sequence of events, a route names a routable endpoint that is not
// excluded, and ended attempts leave no load behind.
RC_GTEST_PROP(RouterTest, RoutesOnlyToRoutableEndpoints, ()) {
  const auto router = NewRouter();
  std::map<std::string, std::int64_t> routable;
  std::vector<DispatchTicket> tickets;
  std::int64_t now = 0;
  const int steps = *rc::gen::inRange(1, 120);
  for (int step = 0; step < steps; ++step) {
    now += *rc::gen::inRange(0, 700);
    const std::string id = "e" + std::to_string(*rc::gen::inRange(0, 6));
    const auto generation = *rc::gen::inRange<std::int64_t>(1, 4);
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        router->OnEndpointUp(Millis(now),
                             ModelEndpoint(id, "north", generation));
        routable[id] = generation;
        break;
      case 1:
        router->OnEndpointDown(Millis(now), EndpointId(id));
        routable.erase(id);
        break;
      case 2:
        router->OnLoadReport(Millis(now),
                             Report(id, now - *rc::gen::inRange(0, 2000),
                                    *rc::gen::inRange(0, 40), generation));
        break;
      case 3:
        router->Tick(Millis(now));
        break;
      case 4:
      case 5: {
        const std::vector<EndpointId> excluded = {EndpointId(id)};
        const RequestProfile profile = ModelRequest(Millis(now));
        const auto route = router->Choose(Millis(now), profile, excluded);
        if (IsOk(route)) {
          const Endpoint& endpoint = *ValueOf(route).endpoint;
          RC_ASSERT(endpoint.id != EndpointId(id));
          RC_ASSERT(routable.at(endpoint.id.value()) ==
                    endpoint.generation.value());
          tickets.push_back(
              router->OnDispatched(Millis(now), ValueOf(route), profile));
        } else {
          const bool has_other =
              routable.size() > (routable.contains(id) ? 1U : 0U);
          RC_ASSERT(!has_other || ErrorOf(route) == RefusalKind::kDeadline);
        }
        break;
      }
      default:
        if (!tickets.empty()) {
          const auto ticket =
              tickets[*rc::gen::inRange<std::size_t>(0, tickets.size())];
          router->OnFirstByte(Millis(now), ticket);
          router->OnFinished(Millis(now), ticket, TokenCount(20));
          router->OnFailed(Millis(now), ticket);
        }
    }
  }
  for (const DispatchTicket ticket : tickets) {
    router->OnCancelled(Millis(now), ticket);
  }
  for (const EndpointStatus& view : router->Endpoints(Millis(now))) {
    RC_ASSERT(view.own_in_flight == 0);
  }
}

}  // namespace
}  // namespace gcw
