#include "programs/gcw_load/arrival_plan.h"

#include <cmath>
#include <utility>

namespace gcw {

ArrivalPlan::ArrivalPlan(Settings settings, Random random)
    : settings_(settings), random_(std::move(random)) {}

std::optional<Arrival> ArrivalPlan::Next() {
  const double rate =
      settings_.paid_rate + settings_.trial_rate + settings_.reservation_rate;
  if (rate <= 0) {
    return std::nullopt;
  }
  last_arrival_ += -std::log1p(-DrawUnit(random_)) / rate;
  // Compared in seconds, because with a tiny rate the time would overflow
  // microseconds.
  const std::chrono::duration<double> at(last_arrival_);
  if (at >= settings_.length) {
    return std::nullopt;
  }
  return Arrival{std::chrono::duration_cast<std::chrono::microseconds>(at),
                 DrawKind()};
}

RequestKind ArrivalPlan::DrawKind() {
  const double rate =
      settings_.paid_rate + settings_.trial_rate + settings_.reservation_rate;
  const double drawn = DrawUnit(random_) * rate;
  if (drawn < settings_.reservation_rate) {
    return RequestKind::kReservation;
  }
  const bool trial = drawn < settings_.reservation_rate + settings_.trial_rate;
  if (DrawUnit(random_) < settings_.whole_share) {
    return trial ? RequestKind::kTrialWhole : RequestKind::kPaidWhole;
  }
  return trial ? RequestKind::kTrialStream : RequestKind::kPaidStream;
}

}  // namespace gcw
