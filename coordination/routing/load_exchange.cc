#include "coordination/routing/load_exchange.h"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous.h"

namespace gcw {
namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

LoadExchange::LoadExchange(LoadExchangeSettings settings,
                           NodeId self,
                           ZoneId zone)
    : settings_(settings), self_(std::move(self)), zone_(std::move(zone)) {}

void LoadExchange::OnView(const View& view) {
  nodes_by_zone_.clear();
  nodes_ = view.Owners();
  for (const ZoneId& zone : view.Zones()) {
    nodes_by_zone_[zone] = view.OwnersIn(zone);
  }
  receivers_ = nodes_.size() <= settings_.max_nodes_for_global_sharing
                   ? nodes_
                   : view.OwnersIn(zone_);
  std::erase(receivers_, self_);
  for (auto& [id, watched] : watched_) {
    ChooseReader(watched);
  }
}

void LoadExchange::OnEndpointUp(Time now, const Endpoint& endpoint) {
  WatchedEndpoint watched;
  watched.endpoint = endpoint;
  watched.next_read = now;
  watched.taken_at = now;
  ChooseReader(watched);
  watched_.insert_or_assign(endpoint.id, std::move(watched));
}

void LoadExchange::OnEndpointDown(const EndpointId& endpoint) {
  watched_.erase(endpoint);
}

void LoadExchange::OnLocalReport(Time now, const LoadReport& report) {
  const auto found = watched_.find(report.endpoint);
  if (found == watched_.end()) {
    return;
  }
  WatchedEndpoint& watched = found->second;
  watched.taken_at = std::min(now, report.taken_at);
  watched.report = report;
  watched.has_unshared_report = watched.is_reader;
}

std::vector<LoadReport> LoadExchange::OnDigest(Time now,
                                               const LoadDigest& digest) {
  std::vector<LoadReport> reports;
  for (const SharedLoad& shared : digest.loads) {
    const auto found = watched_.find(shared.report.endpoint);
    if (found == watched_.end()) {
      continue;
    }
    LoadReport report = shared.report;
    report.taken_at = now - std::max(shared.age, Duration());
    found->second.taken_at = std::max(found->second.taken_at, report.taken_at);
    reports.push_back(std::move(report));
  }
  return reports;
}

std::vector<LoadExchangeAction> LoadExchange::Tick(Time now) {
  const double seconds =
      static_cast<double>((now - last_refill_).millis()) / kMillisPerSecond;
  fallback_read_tokens_ =
      std::min(settings_.max_fallback_reads_per_second,
               fallback_read_tokens_ +
                   settings_.max_fallback_reads_per_second * seconds);
  last_refill_ = now;
  std::vector<LoadExchangeAction> actions;
  ShareReports(now, actions);
  for (auto& [id, watched] : watched_) {
    if (TryTakeRead(now, watched)) {
      watched.next_read = now + settings_.read_interval;
      actions.emplace_back(LoadReadDue{watched.endpoint});
    }
  }
  return actions;
}

void LoadExchange::ChooseReader(WatchedEndpoint& watched) const {
  const auto zone = nodes_by_zone_.find(watched.endpoint.zone);
  const bool has_nodes = zone != nodes_by_zone_.end() && !zone->second.empty();
  const std::vector<NodeId>& candidates = has_nodes ? zone->second : nodes_;
  watched.is_reader =
      RendezvousOwner(watched.endpoint.id.value(), candidates) == self_;
}

bool LoadExchange::TryTakeRead(Time now, WatchedEndpoint& watched) {
  if (now < watched.next_read) {
    return false;
  }
  if (watched.is_reader) {
    return true;
  }
  if (now - watched.taken_at < settings_.fallback_read_delay ||
      fallback_read_tokens_ < 1) {
    return false;
  }
  fallback_read_tokens_ -= 1;
  return true;
}

void LoadExchange::ShareReports(Time now,
                                std::vector<LoadExchangeAction>& actions) {
  LoadDigest digest;
  for (auto& [id, watched] : watched_) {
    if (std::exchange(watched.has_unshared_report, false)) {
      digest.loads.push_back(
          SharedLoad{watched.report, now - watched.report.taken_at});
    }
  }
  if (digest.loads.empty()) {
    return;
  }
  for (const NodeId& receiver : receivers_) {
    actions.emplace_back(PeerSend<LoadDigest>{receiver, digest});
  }
}

}  // namespace gcw
