// Arrivals and request sizes of the callers in `TierWorld`.

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

#include "bench/tier_world.h"

namespace gcw::bench {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr Micros kBurstPeriod = 20000000;
constexpr double kBurstShare = 0.25;
// A few teams are large.
constexpr std::array<double, TierWorld::kTeams> kTeamWeights{
    6, 5, 4, 1, 1, 1, 0.5, 0.5, 0.5, 0.5};

}  // namespace

double TierWorld::PaidRateFactor() const {
  if (settings_.burst_factor == 1) {
    return 1;
  }
  const auto phase = static_cast<double>(events_.now() % kBurstPeriod) /
                     static_cast<double>(kBurstPeriod);
  return phase < kBurstShare
             ? settings_.burst_factor
             : (1 - kBurstShare * settings_.burst_factor) / (1 - kBurstShare);
}

// Draws arrivals at the highest rate and drops a part of them at lower rates,
// so that bursts do not change the sequence of random numbers.
void TierWorld::ScheduleArrival(Tier tier, double rate, bool flood) {
  if (rate <= 0) {
    return;
  }
  const Random& random = CallerRandom(tier, flood);
  const double max_rate =
      tier == Tier::kPaid ? rate * std::max(1.0, settings_.burst_factor) : rate;
  const double wait = -std::log(1 - DrawUnit(random)) / max_rate;
  events_.ScheduleAfter(
      static_cast<Micros>(wait * kMicrosPerSecond),
      [this, tier, rate, max_rate, flood] {
        const double now = tier == Tier::kPaid ? rate * PaidRateFactor() : rate;
        if (DrawUnit(CallerRandom(tier, flood)) * max_rate < now) {
          Arrive(tier, flood);
        }
        ScheduleArrival(tier, rate, flood);
      });
}

// Each kind of caller has its own random source, so that paid arrivals are the
// same with and without the other kinds.
const Random& TierWorld::CallerRandom(Tier tier, bool flood) const {
  if (flood) {
    return callers_[2];
  }
  return callers_[tier == Tier::kPaid ? 0 : 1];
}

std::int64_t TierWorld::LogNormal(const Random& random,
                                  double median,
                                  double sigma,
                                  std::int64_t max_value) {
  const double u = std::max(1e-12, DrawUnit(random));
  const double normal = std::sqrt(-2 * std::log(u)) *
                        std::cos(2 * std::numbers::pi * DrawUnit(random));
  const auto value =
      static_cast<std::int64_t>(median * std::exp(sigma * normal));
  return std::clamp<std::int64_t>(value, 1, max_value);
}

void TierWorld::Arrive(Tier tier, bool flood) {
  Call call;
  call.id = next_call_++;
  call.tier = tier;
  const Random& random = CallerRandom(tier, flood);
  call.node = DrawBelow(random, nodes_.size());
  call.prompt = LogNormal(random, 250, 0.7, 4000);
  call.generate = LogNormal(random, 150, 0.6, 1000);
  call.arrived = events_.now();
  if (!flood) {
    double pick = DrawUnit(random) * 20;
    while (call.team + 1 < kTeams && pick >= kTeamWeights[call.team]) {
      pick -= kTeamWeights[call.team++];
    }
  }
  Offer(calls_.emplace(call.id, call).first->second);
}

}  // namespace gcw::bench
