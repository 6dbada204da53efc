#include "coordination/gateway/endpoint_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/rendezvous.h"

namespace gcw {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr std::string_view kOwnAnswer = "answer";
constexpr std::string_view kOtherNode = "other_node";

}  // namespace

EndpointLimits::EndpointLimits(EndpointLimitSettings settings,
                               Random random,
                               EventSink events)
    : settings_(settings),
      random_(std::move(random)),
      events_(std::move(events)) {}

void EndpointLimits::SetNodes(Time now,
                              NodeId self,
                              std::map<NodeId, ZoneId> nodes) {
  if (self == self_ && nodes == nodes_) {
    return;
  }
  self_ = std::move(self);
  nodes_ = std::move(nodes);
  nodes_changed_ = now;
  for (auto& [vm, limit] : limits_) {
    UpdateSenders(now, limit);
  }
}

void EndpointLimits::OnReport(Time now,
                              const EndpointRun& endpoint,
                              Time sent,
                              const EndpointReport& report) {
  if (report.has_unreadable_limit) {
    events_({EventKind::kEndpointLimitNamed,
             endpoint.vm.value(),
             {},
             {{"unreadable", true}}});
    return;
  }
  const Limit* known = Find(endpoint.vm, endpoint.incarnation);
  // The answer to an attempt that was sent before the limit was last heard of
  // may be older than what is known.
  const bool may_be_old = known != nullptr && sent <= known->heard;
  if (report.rate_limit) {
    if (known == nullptr || known->rate || !may_be_old) {
      Set(now, endpoint, report.rate_limit, now, kOwnAnswer);
    }
    return;
  }
  if (known != nullptr && known->rate && report.is_signed && !may_be_old) {
    Set(now, endpoint, std::nullopt, now, kOwnAnswer);
  }
}

void EndpointLimits::OnNotice(Time now, const LimitNotice& notice) {
  const Time heard = now - notice.age;
  const auto known = limits_.find(notice.endpoint.vm);
  if (known != limits_.end() && heard <= known->second.heard) {
    return;
  }
  Set(now, notice.endpoint, notice.rate, heard, kOtherNode);
}

void EndpointLimits::Set(Time now,
                         const EndpointRun& endpoint,
                         std::optional<RequestRate> rate,
                         Time heard,
                         std::string_view source) {
  const auto known = limits_.find(endpoint.vm);
  if (known != limits_.end() &&
      endpoint.incarnation < known->second.endpoint.incarnation) {
    return;
  }
  const auto [it, is_new] = limits_.try_emplace(endpoint.vm);
  Limit& limit = it->second;
  const bool is_other_run =
      !is_new && limit.endpoint.incarnation != endpoint.incarnation;
  const bool changed = is_new || is_other_run || limit.rate != rate;
  const bool begins = rate && (is_new || is_other_run || !limit.rate);
  if (is_other_run) {
    limit = Limit();
  }
  limit.endpoint = endpoint;
  limit.rate = rate;
  limit.heard = heard;
  if (begins) {
    limit.last_sent = now;
    limit.not_before = nodes_changed_ + settings_.takeover_delay;
    ChooseSenders(limit);
    ScheduleTrial(now, limit);
  } else if (changed && rate) {
    UpdateSenders(now, limit);
  }
  const bool is_news = changed && (rate || !is_new);
  if (is_news) {
    EmitEvent(now, limit, source);
    ScheduleNotice(limit);
  }
}

void EndpointLimits::ScheduleNotice(Limit& limit) const {
  if (limit.rate.has_value() != limit.notified_rate.has_value()) {
    limit.must_notify = true;
  } else if (limit.rate) {
    const double told = limit.notified_rate->per_second();
    limit.must_notify = std::abs(limit.rate->per_second() - told) >
                        settings_.min_notice_change * told;
  }
}

void EndpointLimits::EmitEvent(Time now,
                               const Limit& limit,
                               std::string_view source) {
  std::vector<EventField> fields = {
      {"source", std::string(source)},
      {"heard_ago_ms", (now - limit.heard).millis()},
      {"nodes", static_cast<std::int64_t>(nodes_.size())}};
  if (!limit.rate) {
    events_({EventKind::kEndpointLimitLifted,
             limit.endpoint.vm.value(),
             {},
             std::move(fields)});
    return;
  }
  fields.push_back({"limit_per_s", limit.rate->per_second()});
  fields.push_back({"sender", limit.is_sender});
  fields.push_back({"senders", static_cast<std::int64_t>(limit.senders)});
  if (limit.is_sender) {
    fields.push_back({"interval_ms", SendInterval(limit).millis()});
  }
  events_({EventKind::kEndpointLimitNamed,
           limit.endpoint.vm.value(),
           {},
           std::move(fields)});
}

double EndpointLimits::LimitPerSecond(const Limit& limit) const {
  return std::clamp(limit.rate.value_or(RequestRate()), settings_.min_rate,
                    settings_.max_rate)
      .per_second();
}

double EndpointLimits::UsablePerSecond(const Limit& limit) const {
  return LimitPerSecond(limit) * (view_is_current_
                                      ? settings_.usable_fraction
                                      : settings_.stale_view_fraction);
}

Duration EndpointLimits::SendInterval(const Limit& limit) const {
  return Duration::Millis(static_cast<std::int64_t>(
      std::ceil(kMillisPerSecond * static_cast<double>(limit.senders) /
                UsablePerSecond(limit))));
}

void EndpointLimits::ChooseSenders(Limit& limit) const {
  const std::size_t wanted =
      1 + static_cast<std::size_t>(LimitPerSecond(limit) /
                                   settings_.rate_per_sender);
  std::vector<NodeId> near;
  std::vector<NodeId> all;
  for (const auto& [id, zone] : nodes_) {
    all.push_back(id);
    if (zone == limit.endpoint.zone) {
      near.push_back(id);
    }
  }
  const std::vector<NodeId> senders = RendezvousOrder(
      limit.endpoint.vm.value(), near.size() < wanted ? all : near, wanted);
  limit.senders = std::max<std::size_t>(1, senders.size());
  limit.is_sender =
      std::find(senders.begin(), senders.end(), self_) != senders.end();
}

void EndpointLimits::UpdateSenders(Time now, Limit& limit) const {
  const bool was_sender = limit.is_sender;
  ChooseSenders(limit);
  if (limit.is_sender && !was_sender) {
    limit.not_before = now + settings_.takeover_delay;
  }
}

void EndpointLimits::ScheduleTrial(Time now, Limit& limit) {
  const double mean_seconds =
      static_cast<double>(std::max<std::size_t>(1, nodes_.size())) /
      (settings_.trial_fraction * LimitPerSecond(limit));
  limit.trial_at =
      now + Duration::Millis(static_cast<std::int64_t>(
                kMillisPerSecond * 2 * mean_seconds * DrawUnit(random_)));
}

const EndpointLimits::Limit* EndpointLimits::Find(
    const VmId& vm,
    Incarnation incarnation) const {
  const auto found = limits_.find(vm);
  return found != limits_.end() &&
                 found->second.endpoint.incarnation == incarnation
             ? &found->second
             : nullptr;
}

bool EndpointLimits::MaySend(Time now,
                             const VmId& vm,
                             Incarnation incarnation) const {
  const Limit* limit = Find(vm, incarnation);
  if (limit == nullptr || !limit->rate) {
    return true;
  }
  if (limit->is_sender) {
    return now >= limit->not_before &&
           now >= limit->last_sent + SendInterval(*limit);
  }
  return now - limit->heard >= settings_.trial_delay &&
         now >= limit->trial_at &&
         now < limit->trial_at + settings_.trial_window;
}

RequestRate EndpointLimits::UsableRate(const VmId& vm,
                                       Incarnation incarnation) const {
  const Limit* limit = Find(vm, incarnation);
  return limit != nullptr && limit->rate
             ? RequestRate::PerSecond(UsablePerSecond(*limit))
             : RequestRate();
}

bool EndpointLimits::IsLimited(const VmId& vm) const {
  const auto found = limits_.find(vm);
  return found != limits_.end() && found->second.rate.has_value();
}

std::size_t EndpointLimits::size() const {
  return static_cast<std::size_t>(std::count_if(
      limits_.begin(), limits_.end(),
      [](const auto& entry) { return entry.second.rate.has_value(); }));
}

void EndpointLimits::OnSent(Time now, const VmId& vm) {
  const auto found = limits_.find(vm);
  if (found == limits_.end()) {
    return;
  }
  found->second.last_sent = now;
  if (!found->second.is_sender) {
    ScheduleTrial(now, found->second);
  }
}

void EndpointLimits::Tick(Time now,
                          const std::function<bool(const VmId&)>& is_present) {
  std::erase_if(limits_, [&](const auto& entry) {
    const Limit& limit = entry.second;
    const Duration age = now - limit.heard;
    return limit.rate ? age >= settings_.absent_ttl && !is_present(entry.first)
                      : age >= settings_.lifted_ttl && !limit.must_notify;
  });
  for (auto& [vm, limit] : limits_) {
    if (now >= limit.trial_at + settings_.trial_window) {
      ScheduleTrial(now, limit);
    }
  }
}

std::vector<LimitNotice> EndpointLimits::TakeNotices(Time now) {
  std::vector<LimitNotice> notices;
  for (auto& [vm, limit] : limits_) {
    const bool in_force_changed =
        limit.rate.has_value() != limit.notified_rate.has_value();
    if (!limit.must_notify ||
        (!in_force_changed &&
         now - limit.notified < settings_.notice_interval)) {
      continue;
    }
    limit.must_notify = false;
    limit.notified = now;
    limit.notified_rate = limit.rate;
    notices.push_back({limit.endpoint, limit.rate, now - limit.heard});
  }
  return notices;
}

}  // namespace gcw
