#ifndef COORDINATION_ROUTING_ROUTER_H_
#define COORDINATION_ROUTING_ROUTER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/requests/request.h"
#include "coordination/routing/endpoint_pool.h"
#include "coordination/routing/endpoint_state.h"
#include "coordination/routing/route.h"
#include "coordination/routing/router_settings.h"

namespace gcw {

class RouterBuilder;

// Chooses the endpoint for each attempt of a request. It knows the endpoints
// that are routable now, what they last reported, what this node sent them
// since, and what prefixes they are believed to hold.
//
// An endpoint's cost is the time to a first byte expected from it: the way
// there, its backlog, and the prompt tokens it would have to compute. Reports
// are old, and nodes with the same report would all pick the same endpoint; so
// each corrects the report by its own dispatches, and picks the better of two
// drawn at random from the endpoints whose cost is near the least.
class Router {
 public:
  explicit Router(RouterBuilder builder);
  // Its pools refer to its table of endpoints.
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // An endpoint is routable from now on, or changed. A new generation starts
  // without load, prefixes or history. False where the node has no slot left:
  // it has to choose a subset first (coordination/routing/endpoint_subset.h).
  bool OnEndpointUp(Time now, const Endpoint& endpoint);
  // The endpoint receives nothing new from now on. Its attempts may go on.
  void OnEndpointDown(Time now, const EndpointId& endpoint);
  // Ignored for other generations and for reports older than the last.
  void OnLoadReport(Time now, const LoadReport& report);
  void OnCacheEvents(Time now,
                     const EndpointId& endpoint,
                     Generation generation,
                     const CacheEventBatch& batch);
  // How many nodes route to the same endpoints, with this one.
  void SetNodeCount(std::int64_t nodes);

  // The endpoint to try next; `excluded` holds those that failed this request.
  // Nothing is noted until `OnDispatched`.
  Result<Route, RefusalKind> Choose(Time now,
                                    const RequestProfile& profile,
                                    std::span<const EndpointId> excluded);
  // The same, but only among `allowed`; among all where it is empty.
  Result<Route, RefusalKind> ChooseAmong(Time now,
                                         const RequestProfile& profile,
                                         std::span<const EndpointId> excluded,
                                         std::span<const EndpointId> allowed);

  // The attempt left for the route's endpoint. The ticket names it afterwards;
  // each of the calls below may come late or twice.
  DispatchTicket OnDispatched(Time now,
                              const Route& route,
                              const RequestProfile& profile);
  void OnFirstByte(Time now, DispatchTicket ticket);
  void OnFinished(Time now, DispatchTicket ticket, TokenCount generated);
  // The endpoint failed the attempt or was not reached.
  void OnFailed(Time now, DispatchTicket ticket);
  // The caller or the node gave the attempt up.
  void OnCancelled(Time now, DispatchTicket ticket);

  void Tick(Time now);

  // What this node's share of the free places would carry.
  double SpareRequestsPerSecond(Time now, const RequestTarget& target) const;
  // For the status page.
  std::vector<EndpointView> Endpoints(Time now) const;

 private:
  struct Attempt {
    // Tells this use of the place from earlier ones; 0 where it is free.
    std::int64_t serial = 0;
    EndpointSlot slot;
    // Of the slot, when the attempt was sent.
    std::int64_t slot_use = 0;
    Time sent;
    Time first_byte;
    bool has_first_byte = false;
  };

  EndpointPool* FindPool(const RequestTarget& target) const;
  EndpointPool& PoolFor(const Endpoint& endpoint);
  EndpointState& StateAt(EndpointSlot slot);
  EndpointState* FindState(const EndpointId& endpoint);
  double DistanceMillis(const ZoneId& zone) const;
  DispatchTicket AddAttempt(const Attempt& attempt);
  Attempt* FindAttempt(DispatchTicket ticket);
  // The endpoint of an attempt; null where it has gone or is another
  // generation.
  EndpointState* StateFor(const Attempt& attempt);
  // Frees the attempt's place and takes its load off its endpoint. Null where
  // it has ended before or its endpoint has gone; `ended` is the attempt.
  EndpointState* End(DispatchTicket ticket, Attempt& ended);
  void ReportStraggler(const StragglerAction& action);

  RouterSettings settings_;
  Random random_;
  EventSink events_;
  std::int64_t nodes_ = 1;
  PrefixIndex prefixes_;
  // By slot.
  std::vector<EndpointState> endpoints_;
  std::vector<EndpointSlot> free_slots_;
  std::unordered_map<EndpointId, EndpointSlot> slots_;
  std::unordered_map<ModelId, std::unique_ptr<EndpointPool>> models_;
  std::unordered_map<ServiceId, std::unique_ptr<EndpointPool>> services_;
  std::vector<Attempt> attempts_;
  std::vector<std::size_t> free_attempts_;
  std::int64_t next_serial_ = 1;
  std::int64_t next_use_ = 1;
  // Scratch space of `Choose`.
  std::vector<PrefixMatch> matches_;
  std::vector<double> cached_blocks_;
};

// Collects what a router needs.
class RouterBuilder {
 public:
  RouterBuilder& SetSettings(RouterSettings settings);
  RouterBuilder& SetRandom(Random random);
  RouterBuilder& SetEventSink(EventSink events);
  std::unique_ptr<Router> Build();

 private:
  friend class Router;

  RouterSettings settings_;
  Random random_ = SeededRandom(1);
  EventSink events_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ROUTER_H_
