#include "coordination/routing/router.h"

#include <algorithm>
#include <string>
#include <utility>

namespace gcw {
namespace {

// A ticket combines an index into the table of attempts with the serial number
// of that entry's use.
constexpr int kIndexBits = 20;
constexpr std::int64_t kIndexMask = (std::int64_t{1} << kIndexBits) - 1;
// An answer with fewer tokens is too short to measure the endpoint's speed.
constexpr std::int64_t kMinTokensForSpeed = 8;
// `Attempt::slot_serial` if the endpoint was removed before the attempt was
// sent.
constexpr std::int64_t kNoSlotSerial = -1;

DispatchTicket MakeTicket(std::int64_t serial, std::size_t index) {
  return DispatchTicket((serial << kIndexBits) |
                        static_cast<std::int64_t>(index));
}

}  // namespace

RouterBuilder& RouterBuilder::SetSettings(RouterSettings settings) {
  settings_ = std::move(settings);
  return *this;
}

RouterBuilder& RouterBuilder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

RouterBuilder& RouterBuilder::SetEventSink(EventSink events) {
  events_ = std::move(events);
  return *this;
}

std::unique_ptr<Router> RouterBuilder::Build() {
  return std::make_unique<Router>(std::move(*this));
}

Router::Router(RouterBuilder builder)
    : settings_(std::move(builder.settings_)),
      random_(std::move(builder.random_)),
      events_(std::move(builder.events_)),
      prefixes_(settings_.prefix_index) {
  const auto slots =
      static_cast<std::size_t>(settings_.prefix_index.max_endpoints);
  endpoints_.resize(slots);
  cached_blocks_.resize(slots);
  for (std::size_t slot = slots; slot > 0; --slot) {
    free_slots_.emplace_back(static_cast<std::int64_t>(slot - 1));
  }
}

bool Router::OnEndpointUp(Time now, const Endpoint& endpoint) {
  EndpointState* known = FindState(endpoint.id);
  if (known != nullptr && known->endpoint->generation == endpoint.generation &&
      known->pool == &PoolFor(endpoint)) {
    known->endpoint = std::make_shared<const Endpoint>(endpoint);
    known->distance_millis = DistanceMillis(endpoint.zone);
    return true;
  }
  OnEndpointDown(now, endpoint.id);
  if (free_slots_.empty()) {
    return false;
  }
  const EndpointSlot slot = free_slots_.back();
  free_slots_.pop_back();
  slots_.emplace(endpoint.id, slot);
  EndpointPool& pool = PoolFor(endpoint);
  StateAt(slot) = {.endpoint = std::make_shared<const Endpoint>(endpoint),
                   .pool = &pool,
                   .slot_serial = next_slot_serial_++,
                   .distance_millis = DistanceMillis(endpoint.zone),
                   .load = {},
                   .backoff = FailureBackoff(settings_.backoff)};
  pool.Add(slot);
  return true;
}

void Router::OnEndpointDown(Time /*now*/, const EndpointId& endpoint) {
  const auto found = slots_.find(endpoint);
  if (found == slots_.end()) {
    return;
  }
  const EndpointSlot slot = found->second;
  EndpointState& state = StateAt(slot);
  state.pool->Remove(slot);
  state = EndpointState();
  prefixes_.Forget(slot);
  slots_.erase(found);
  free_slots_.push_back(slot);
}

void Router::OnLoadReport(Time /*now*/, const LoadReport& report) {
  EndpointState* state = FindState(report.endpoint);
  if (state != nullptr && state->endpoint->generation == report.generation) {
    state->load.OnReport(report);
  }
}

void Router::OnCacheEvents(Time now,
                           const EndpointId& endpoint,
                           Generation generation,
                           const CacheEventBatch& batch) {
  const auto found = slots_.find(endpoint);
  if (found == slots_.end()) {
    return;
  }
  if (StateAt(found->second).endpoint->generation == generation) {
    prefixes_.OnCacheEvents(now, found->second, batch);
  }
}

void Router::SetNodeCount(std::int64_t node_count) {
  node_count_ = std::max<std::int64_t>(1, node_count);
}

Result<Route, RefusalKind> Router::Choose(
    Time now,
    const RequestProfile& profile,
    std::span<const EndpointId> excluded) {
  return ChooseAmong(now, profile, excluded, {});
}

Result<Route, RefusalKind> Router::ChooseAmong(
    Time now,
    const RequestProfile& profile,
    std::span<const EndpointId> excluded,
    std::span<const EndpointId> allowed) {
  EndpointPool* pool = FindPool(profile.target);
  if (pool == nullptr) {
    return std::holds_alternative<ModelTarget>(profile.target)
               ? RefusalKind::kUnknownModel
               : RefusalKind::kUnknownService;
  }
  prefixes_.Match(profile.prefix_blocks, matches_);
  for (const PrefixMatch& match : matches_) {
    const double weight =
        match.is_unconfirmed ? settings_.unconfirmed_weight : 1;
    cached_blocks_[static_cast<std::size_t>(match.slot.value())] =
        weight * static_cast<double>(match.blocks);
  }
  auto result = pool->Choose({.now = now,
                              .profile = profile,
                              .excluded = excluded,
                              .allowed = allowed,
                              .holders = matches_,
                              .cached_blocks = cached_blocks_,
                              .node_count = node_count_},
                             random_);
  for (const PrefixMatch& match : matches_) {
    cached_blocks_[static_cast<std::size_t>(match.slot.value())] = 0;
  }
  return result;
}

DispatchTicket Router::OnDispatched(Time now,
                                    const Route& route,
                                    const RequestProfile& profile) {
  EndpointState& state = StateAt(route.slot);
  const bool is_present =
      state.endpoint != nullptr && state.endpoint->id == route.endpoint->id &&
      state.endpoint->generation == route.endpoint->generation;
  const DispatchTicket ticket =
      AddAttempt({.slot = route.slot,
                  .slot_serial = is_present ? state.slot_serial : kNoSlotSerial,
                  .sent = now,
                  .first_byte = now});
  if (!is_present) {
    return ticket;
  }
  state.load.OnSent(now, ticket, route.uncached_tokens.value(),
                    route.expected_first_byte);
  state.backoff.OnSent(now);
  state.pool->OnDispatched(now, route);
  prefixes_.OnDispatched(now, route.slot, profile.prefix_blocks);
  return ticket;
}

void Router::OnFirstByte(Time now, DispatchTicket ticket) {
  Attempt* attempt = FindAttempt(ticket);
  if (attempt == nullptr || attempt->has_first_byte) {
    return;
  }
  attempt->has_first_byte = true;
  attempt->first_byte = now;
  if (EndpointState* state = StateFor(*attempt)) {
    state->load.OnFirstByte(ticket);
  }
}

void Router::OnFinished(Time now, DispatchTicket ticket, TokenCount generated) {
  Attempt attempt;
  EndpointState* state = EndAttempt(ticket, attempt);
  if (state == nullptr) {
    return;
  }
  state->backoff.OnSucceeded();
  double millis_per_token = 0;
  if (attempt.has_first_byte && generated.value() >= kMinTokensForSpeed) {
    millis_per_token =
        static_cast<double>((now - attempt.first_byte).millis()) /
        static_cast<double>(generated.value() - 1);
  }
  state->pool->OnFinished(now, attempt.slot, now - attempt.sent,
                          millis_per_token);
}

void Router::OnFailed(Time now, DispatchTicket ticket) {
  Attempt attempt;
  if (EndpointState* state = EndAttempt(ticket, attempt)) {
    state->backoff.OnFailed(now);
  }
}

void Router::OnCancelled(Time /*now*/, DispatchTicket ticket) {
  Attempt attempt;
  if (EndpointState* state = EndAttempt(ticket, attempt)) {
    state->backoff.OnAbandoned();
  }
}

void Router::Tick(Time now) {
  prefixes_.Tick(now);
  for (EndpointState& state : endpoints_) {
    if (state.endpoint != nullptr) {
      state.overdue_millis =
          static_cast<double>(state.load.Overdue(now).millis());
    }
  }
  const auto tick = [this, now](EndpointPool& pool) {
    for (const StragglerAction& action : pool.Tick(now)) {
      ReportStraggler(action);
    }
  };
  for (const auto& [model, pool] : models_) {
    tick(*pool);
  }
  for (const auto& [service, pool] : services_) {
    tick(*pool);
  }
}

void Router::ReportStraggler(const StragglerAction& action) {
  if (const auto* ejected = std::get_if<StragglerEjected>(&action)) {
    events_({.kind = EventKind::kEndpointEjected,
             .subject = StateAt(ejected->slot).endpoint->id.value(),
             .cause = {},
             .fields = {{"times_median", ejected->factor}}});
    return;
  }
  const EndpointSlot slot = std::get<StragglerRestored>(action).slot;
  events_({.kind = EventKind::kEndpointRestored,
           .subject = StateAt(slot).endpoint->id.value(),
           .cause = {},
           .fields = {}});
}

double Router::SpareRequestsPerSecond(Time now,
                                      const RequestTarget& target) const {
  const EndpointPool* pool = FindPool(target);
  return pool == nullptr ? 0 : pool->SpareRequestsPerSecond(now, node_count_);
}

std::vector<EndpointStatus> Router::Endpoints(Time now) const {
  std::vector<EndpointStatus> views;
  for (const auto& [id, slot] : slots_) {
    const EndpointState& state =
        endpoints_[static_cast<std::size_t>(slot.value())];
    const double wait = state.pool->WaitMillis(now, state, node_count_);
    views.push_back(
        {.id = id,
         .generation = state.endpoint->generation,
         .zone = state.endpoint->zone,
         .own_in_flight = state.load.own_in_flight(),
         .expected_wait = Duration::Millis(static_cast<std::int64_t>(wait)),
         .has_report = state.load.has_report(),
         .report_taken_at = state.load.report_taken_at(),
         .is_ejected = state.pool->stragglers().IsEjected(slot),
         .backing_off_until = state.backoff.ends_at()});
  }
  std::ranges::sort(views, {}, &EndpointStatus::id);
  return views;
}

EndpointPool* Router::FindPool(const RequestTarget& target) const {
  if (const auto* model = std::get_if<ModelTarget>(&target)) {
    const auto found = models_.find(model->model);
    return found == models_.end() ? nullptr : found->second.get();
  }
  const auto found = services_.find(std::get<ServiceTarget>(target).service);
  return found == services_.end() ? nullptr : found->second.get();
}

EndpointPool& Router::PoolFor(const Endpoint& endpoint) {
  std::unique_ptr<EndpointPool>& pool = endpoint.service.empty()
                                            ? models_[endpoint.model]
                                            : services_[endpoint.service];
  if (pool == nullptr) {
    pool = std::make_unique<EndpointPool>(settings_, endpoints_);
  }
  return *pool;
}

EndpointState& Router::StateAt(EndpointSlot slot) {
  return endpoints_[static_cast<std::size_t>(slot.value())];
}

EndpointState* Router::FindState(const EndpointId& endpoint) {
  const auto found = slots_.find(endpoint);
  return found == slots_.end() ? nullptr : &StateAt(found->second);
}

double Router::DistanceMillis(const ZoneId& zone) const {
  if (zone == settings_.zone) {
    return 0;
  }
  const auto found =
      std::ranges::find(settings_.distances, zone, &ZoneDistance::zone);
  return found == settings_.distances.end() ? settings_.default_distance_millis
                                            : found->millis;
}

DispatchTicket Router::AddAttempt(const Attempt& attempt) {
  if (free_attempts_.empty()) {
    free_attempts_.push_back(attempts_.size());
    attempts_.emplace_back();
  }
  const std::size_t index = free_attempts_.back();
  free_attempts_.pop_back();
  attempts_[index] = attempt;
  attempts_[index].serial = next_serial_++;
  return MakeTicket(attempts_[index].serial, index);
}

Router::Attempt* Router::FindAttempt(DispatchTicket ticket) {
  const auto index = static_cast<std::size_t>(ticket.value() & kIndexMask);
  const std::int64_t serial = ticket.value() >> kIndexBits;
  if (index >= attempts_.size() || serial == 0 ||
      attempts_[index].serial != serial) {
    return nullptr;
  }
  return &attempts_[index];
}

EndpointState* Router::StateFor(const Attempt& attempt) {
  EndpointState& state = StateAt(attempt.slot);
  const bool is_same =
      state.endpoint != nullptr && state.slot_serial == attempt.slot_serial;
  return is_same ? &state : nullptr;
}

EndpointState* Router::EndAttempt(DispatchTicket ticket, Attempt& ended) {
  Attempt* attempt = FindAttempt(ticket);
  if (attempt == nullptr) {
    return nullptr;
  }
  ended = *attempt;
  attempt->serial = 0;
  free_attempts_.push_back(
      static_cast<std::size_t>(ticket.value() & kIndexMask));
  EndpointState* state = StateFor(ended);
  if (state != nullptr) {
    state->load.OnEnded(ticket);
  }
  return state;
}

}  // namespace gcw
