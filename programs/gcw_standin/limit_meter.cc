#include "programs/gcw_standin/limit_meter.h"

namespace gcw {
namespace {

constexpr Duration kWindow = Duration::Seconds(4);
constexpr double kWindowSeconds = 4;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5;
// The nodes have this long to hear of a limit, and as long again until the rule
// holds.
constexpr Duration kNoticeTime = Duration::Millis(1500);

}  // namespace

void LimitMeter::SetLimit(Time now, std::optional<RequestRate> limit) {
  limit_ = limit;
  named_ = now;
  requests_.clear();
}

void LimitMeter::OnRequest(Time now) {
  if (!limit_ || now - named_ < kNoticeTime) {
    return;
  }
  requests_.push_back(now);
  while (now - requests_.front() >= kWindow) {
    requests_.pop_front();
  }
  if (now - named_ < kNoticeTime * 2) {
    return;
  }
  ++checked_;
  const double allowed =
      kOvershoot * kWindowSeconds * limit_->per_second() + kSlack;
  excess_ += static_cast<double>(requests_.size()) > allowed ? 1 : 0;
}

}  // namespace gcw
