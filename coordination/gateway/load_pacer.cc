#include "coordination/gateway/load_pacer.h"

#include <algorithm>

namespace gcw {

namespace {
constexpr double kMillisPerSecond = 1000;
}  // namespace

void LoadPacer::SetProfile(const EngineProfile& profile) {
  rate_ = profile.loads_per_second * settings_.rate_share;
  at_once_ = std::max(
      1.0, static_cast<double>(profile.loads_at_once) * settings_.most_at_once);
}

void LoadPacer::Tick(Time now) {
  std::erase_if(running_, [&](const auto& load) { return load.second <= now; });
  if (refilled_ == Time()) {
    refilled_ = now;
    balance_ = settings_.burst;
  }
  const auto passed = static_cast<double>((now - refilled_).millis());
  balance_ =
      std::min(settings_.burst, balance_ + passed * rate_ / kMillisPerSecond);
  refilled_ = now;
}

std::vector<VmId> LoadPacer::Running() const {
  std::vector<VmId> vms;
  vms.reserve(running_.size());
  for (const auto& [vm, until] : running_) {
    vms.push_back(vm);
  }
  return vms;
}

bool LoadPacer::Begin(Time now,
                      const VmId& vm,
                      Duration load_time,
                      LoadNeed need) {
  if (IsLoading(vm)) {
    return true;
  }
  if (has_traffic_) {
    const bool is_standby = need == LoadNeed::kStandby;
    const double at_once =
        is_standby ? at_once_ * settings_.max_standby_share : at_once_;
    const double least_balance = is_standby ? settings_.burst : 1;
    if (static_cast<double>(running_.size()) >= at_once ||
        balance_ < least_balance) {
      return false;
    }
    balance_ -= 1;
  }
  const double patience =
      static_cast<double>(load_time.millis()) * settings_.patience;
  running_[vm] = now + Duration::Millis(static_cast<std::int64_t>(patience));
  return true;
}

}  // namespace gcw
