#include "coordination/routing/straggler_detector.h"

#include <algorithm>

namespace gcw {
namespace {

constexpr EndpointSlot kNoSlot(-1);

EndpointSlot SlotAt(std::size_t index) {
  return EndpointSlot(static_cast<std::int64_t>(index));
}

}  // namespace

StragglerDetector::StragglerDetector(const StragglerSettings& settings)
    : settings_(settings) {}

void StragglerDetector::Add(EndpointSlot slot) {
  Remove(slot);
  const auto index = static_cast<std::size_t>(slot.value());
  if (index >= peers_.size()) {
    peers_.resize(index + 1);
  }
  peers_[index].is_present = true;
  ++present_count_;
}

void StragglerDetector::Remove(EndpointSlot slot) {
  Peer* peer = Find(slot);
  if (peer == nullptr) {
    return;
  }
  --present_count_;
  ejected_count_ -= peer->is_ejected ? 1 : 0;
  *peer = Peer();
}

void StragglerDetector::OnSample(Time now, EndpointSlot slot, double cost) {
  Peer* peer = Find(slot);
  if (peer == nullptr) {
    return;
  }
  if (peer->is_ejected) {
    OnProbeSample(now, *peer, cost);
    return;
  }
  ++peer->samples;
  const double weight = peer->samples == 1 ? 1 : settings_.sample_weight;
  peer->mean += weight * (cost - peer->mean);
}

void StragglerDetector::OnProbeSample(Time now, Peer& peer, double cost) {
  // Requests sent before the ejection may end after it and are no probes.
  if (!peer.is_probing) {
    return;
  }
  peer.is_probing = false;
  if (cost <= settings_.restore_factor * median_) {
    peer.has_recovered = true;
    return;
  }
  peer.probe_delay = std::min(peer.probe_delay * 2, settings_.max_probe_delay);
  peer.next_probe = now + peer.probe_delay;
}

void StragglerDetector::OnProbeSent(Time now, EndpointSlot slot) {
  if (Peer* peer = Find(slot)) {
    peer->is_probing = true;
    peer->next_probe = now + settings_.probe_timeout;
  }
}

bool StragglerDetector::IsEjected(EndpointSlot slot) const {
  if (ejected_count_ == 0) {
    return false;
  }
  const Peer* peer = Find(slot);
  return peer != nullptr && peer->is_ejected;
}

EndpointSlot StragglerDetector::FindDueProbe(Time now) const {
  if (ejected_count_ == 0) {
    return kNoSlot;
  }
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    const Peer& peer = peers_[index];
    if (peer.is_ejected && !peer.has_recovered && now >= peer.next_probe) {
      return SlotAt(index);
    }
  }
  return kNoSlot;
}

std::vector<StragglerAction> StragglerDetector::Tick(Time now) {
  std::vector<StragglerAction> actions;
  UpdateMedian();
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    if (peers_[index].has_recovered) {
      peers_[index] = Peer();
      peers_[index].is_present = true;
      --ejected_count_;
      actions.emplace_back(StragglerRestored{SlotAt(index)});
    }
  }
  while (CanEjectAnother()) {
    const std::size_t slowest = SlowestOutlier();
    if (slowest == peers_.size()) {
      break;
    }
    Peer& peer = peers_[slowest];
    peer.is_ejected = true;
    peer.is_probing = false;
    peer.probe_delay = settings_.initial_probe_delay;
    peer.next_probe = now + peer.probe_delay;
    ++ejected_count_;
    actions.emplace_back(
        StragglerEjected{SlotAt(slowest), peer.mean / median_});
  }
  return actions;
}

void StragglerDetector::UpdateMedian() {
  means_.clear();
  for (const Peer& peer : peers_) {
    if (peer.is_present && peer.samples >= settings_.min_samples) {
      means_.push_back(peer.mean);
    }
  }
  if (static_cast<std::int64_t>(means_.size()) < settings_.min_peers) {
    median_ = 0;
    return;
  }
  const auto middle =
      means_.begin() + static_cast<std::ptrdiff_t>(means_.size() / 2);
  std::nth_element(means_.begin(), middle, means_.end());
  median_ = *middle;
}

bool StragglerDetector::CanEjectAnother() const {
  return median_ > 0 &&
         static_cast<double>(ejected_count_ + 1) <=
             settings_.max_ejected_share * static_cast<double>(present_count_);
}

std::size_t StragglerDetector::SlowestOutlier() const {
  std::size_t slowest = peers_.size();
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    const Peer& peer = peers_[index];
    if (!peer.is_present || peer.is_ejected ||
        peer.samples < settings_.min_samples ||
        peer.mean <= settings_.eject_factor * median_) {
      continue;
    }
    if (slowest == peers_.size() || peer.mean > peers_[slowest].mean) {
      slowest = index;
    }
  }
  return slowest;
}

StragglerDetector::Peer* StragglerDetector::Find(EndpointSlot slot) {
  const auto index = static_cast<std::size_t>(slot.value());
  const bool is_known = index < peers_.size() && peers_[index].is_present;
  return is_known ? &peers_[index] : nullptr;
}

const StragglerDetector::Peer* StragglerDetector::Find(
    EndpointSlot slot) const {
  const auto index = static_cast<std::size_t>(slot.value());
  const bool is_known = index < peers_.size() && peers_[index].is_present;
  return is_known ? &peers_[index] : nullptr;
}

}  // namespace gcw
