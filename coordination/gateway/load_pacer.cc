#include "coordination/gateway/load_pacer.h"

#include <algorithm>

namespace gcw {

namespace {
constexpr double kMillisPerSecond = 1000;
}  // namespace

void LoadPacer::SetProfile(const EngineProfile& profile) {
  rate_ = profile.loads_per_second * settings_.rate_share;
  max_concurrent_ =
      std::max(1.0, static_cast<double>(profile.max_concurrent_loads) *
                        settings_.max_concurrency_factor);
}

void LoadPacer::Tick(Time now) {
  std::erase_if(running_, [&](const auto& load) { return load.second <= now; });
  if (last_refill_ == Time()) {
    last_refill_ = now;
  }
  const auto elapsed_ms = static_cast<double>((now - last_refill_).millis());
  tokens_ = std::min(settings_.burst,
                     tokens_ + elapsed_ms * rate_ / kMillisPerSecond);
  last_refill_ = now;
}

std::vector<VmId> LoadPacer::RunningLoads() const {
  std::vector<VmId> vms;
  vms.reserve(running_.size());
  for (const auto& [vm, expires] : running_) {
    vms.push_back(vm);
  }
  return vms;
}

bool LoadPacer::TryBegin(Time now,
                         const VmId& vm,
                         Duration load_time,
                         LoadPriority priority) {
  if (IsLoading(vm)) {
    return true;
  }
  if (has_traffic_) {
    const bool is_standby = priority == LoadPriority::kStandby;
    const double max_concurrent =
        is_standby ? max_concurrent_ * settings_.max_standby_share
                   : max_concurrent_;
    const double min_tokens = is_standby ? settings_.burst : 1;
    if (static_cast<double>(running_.size()) >= max_concurrent ||
        tokens_ < min_tokens) {
      return false;
    }
    tokens_ -= 1;
  }
  const double timeout =
      static_cast<double>(load_time.millis()) * settings_.timeout_factor;
  running_[vm] = now + Duration::Millis(static_cast<std::int64_t>(timeout));
  return true;
}

}  // namespace gcw
