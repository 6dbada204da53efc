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

// Chooses the endpoint for each attempt of a request. It tracks the routable
// endpoints, their last load reports, what this node has sent them since, and
// the prompt prefixes that they likely hold.
//
// An endpoint's cost is its expected time to first byte: the network delay, its
// backlog, and the prompt tokens that it would have to compute. Reports are out
// of date, and nodes with the same report would all choose the same endpoint.
// Each node therefore corrects the report by its own dispatches and takes the
// better of two endpoints drawn at random from those whose cost is near the
// minimum.
class Router {
 public:
  explicit Router(RouterBuilder builder);
  // The pools hold references to the router's table of endpoints.
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Adds or updates a routable endpoint. A new generation starts without load,
  // prefixes or history. Returns false if the router has no free slot; the
  // caller must choose a subset first (coordination/routing/endpoint_subset.h).
  bool OnEndpointUp(Time now, const Endpoint& endpoint);
  // The endpoint receives no new attempts from now on. Attempts in flight
  // continue.
  void OnEndpointDown(Time now, const EndpointId& endpoint);
  // Ignores reports of another generation and reports that are not newer than
  // the last one.
  void OnLoadReport(Time now, const LoadReport& report);
  void OnCacheEvents(Time now,
                     const EndpointId& endpoint,
                     Generation generation,
                     const CacheEventBatch& batch);
  // Sets the number of nodes that route to the same endpoints, including this
  // one.
  void SetNodeCount(std::int64_t node_count);

  // Chooses the endpoint to try next. `excluded` holds the endpoints that have
  // failed this request. No state changes until `OnDispatched`.
  Result<Route, RefusalKind> Choose(Time now,
                                    const RequestProfile& profile,
                                    std::span<const EndpointId> excluded);
  // Like `Choose`, but only among `allowed`, or among all if it is empty.
  Result<Route, RefusalKind> ChooseAmong(Time now,
                                         const RequestProfile& profile,
                                         std::span<const EndpointId> excluded,
                                         std::span<const EndpointId> allowed);

  // The attempt was sent to the route's endpoint. The returned ticket
  // identifies it in the calls below, each of which may arrive late or twice.
  DispatchTicket OnDispatched(Time now,
                              const Route& route,
                              const RequestProfile& profile);
  void OnFirstByte(Time now, DispatchTicket ticket);
  void OnFinished(Time now, DispatchTicket ticket, TokenCount generated);
  // The endpoint failed the attempt or could not be reached.
  void OnFailed(Time now, DispatchTicket ticket);
  // The caller or this node abandoned the attempt.
  void OnCancelled(Time now, DispatchTicket ticket);

  void Tick(Time now);

  // The request rate that this node's share of the free batch capacity can
  // serve.
  double SpareRequestsPerSecond(Time now, const RequestTarget& target) const;
  // Returns the state of all endpoints for the status page, ordered by id.
  std::vector<EndpointStatus> Endpoints(Time now) const;

 private:
  struct Attempt {
    // Distinguishes this use of the table entry from earlier ones; 0 if the
    // entry is free.
    std::int64_t serial = 0;
    EndpointSlot slot;
    // `EndpointState::slot_serial` when the attempt was sent.
    std::int64_t slot_serial = 0;
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
  // Returns the state of the attempt's endpoint, or null if the endpoint was
  // removed or has another generation by now.
  EndpointState* StateFor(const Attempt& attempt);
  // Copies the attempt to `ended`, frees its table entry and removes its load
  // from its endpoint. Returns null if the attempt has ended before or its
  // endpoint was removed.
  EndpointState* EndAttempt(DispatchTicket ticket, Attempt& ended);
  void ReportStraggler(const StragglerAction& action);

  RouterSettings settings_;
  Random random_;
  EventSink events_;
  std::int64_t node_count_ = 1;
  PrefixIndex prefixes_;
  // Indexed by slot.
  std::vector<EndpointState> endpoints_;
  std::vector<EndpointSlot> free_slots_;
  std::unordered_map<EndpointId, EndpointSlot> slots_;
  std::unordered_map<ModelId, std::unique_ptr<EndpointPool>> models_;
  std::unordered_map<ServiceId, std::unique_ptr<EndpointPool>> services_;
  std::vector<Attempt> attempts_;
  std::vector<std::size_t> free_attempts_;
  std::int64_t next_serial_ = 1;
  std::int64_t next_slot_serial_ = 1;
  // Scratch space for `ChooseAmong`.
  std::vector<PrefixMatch> matches_;
  std::vector<double> cached_blocks_;
};

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
