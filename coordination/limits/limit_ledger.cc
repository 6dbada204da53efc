#include "coordination/limits/limit_ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gcw {
namespace {

// Sums of fractions may miss a whole unit because of rounding.
constexpr double kRoundingTolerance = 1e-9;
// Fraction of the unused total that is granted to the parties by weight, beyond
// their demand, for the next burst. The rest stays free for a node that asks
// for the first time, which would otherwise wait until all others have reported
// twice.
constexpr double kSpareGrantFraction = 0.75;

double RoundDownToUnit(double amount, double unit) {
  return std::floor(amount / unit + kRoundingTolerance) * unit;
}

double RoundUpToUnit(double amount, double unit) {
  return std::ceil(amount / unit - kRoundingTolerance) * unit;
}

struct Claim {
  double demand = 0;
  double weight = 1;
};

// Returns the amount per weight at which the claims use up `total` (weighted
// max-min fairness). The sum of the claims must exceed `total`.
double WaterFillingLevel(std::vector<Claim> claims, double total) {
  std::sort(claims.begin(), claims.end(), [](const Claim& a, const Claim& b) {
    return a.demand * b.weight < b.demand * a.weight;
  });
  double weight = 0;
  for (const Claim& claim : claims) {
    weight += claim.weight;
  }
  double remaining = total;
  for (const Claim& claim : claims) {
    const double level = remaining / weight;
    if (claim.demand > level * claim.weight) {
      return level;
    }
    remaining -= claim.demand;
    weight -= claim.weight;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace

LimitLedger::Member& LimitLedger::FindOrAddMember(PartyIndex party) {
  const auto found =
      std::find_if(members_.begin(), members_.end(),
                   [party](const Member& m) { return m.party == party; });
  if (found != members_.end()) {
    return *found;
  }
  members_.push_back({.party = party, .demand = {}, .holdings = {}});
  return members_.back();
}

void LimitLedger::Observe(PartyIndex party, const Demand& demand) {
  FindOrAddMember(party).demand = demand;
}

void LimitLedger::Acknowledge(PartyIndex party, LimitSequence applied) {
  std::erase_if(
      FindOrAddMember(party).holdings,
      [applied](const Holding& holding) { return holding.sequence < applied; });
}

LimitVector LimitLedger::HeldBy(const Member& member, Time now) {
  LimitVector held;
  for (const Holding& holding : member.holdings) {
    if (holding.expires > now) {
      held = Max(held, holding.amount);
    }
  }
  return held;
}

LimitVector LimitLedger::Held(Time now) const {
  LimitVector sum;
  for (const Member& member : members_) {
    sum = sum + HeldBy(member, now);
  }
  return sum;
}

LimitVector LimitLedger::TotalDemand(Time now) const {
  LimitVector sum;
  for (const Member& member : members_) {
    if (member.demand.valid_until > now) {
      sum = sum + member.demand.amount;
    }
  }
  return sum;
}

double LimitLedger::TotalRunning(Time now) const {
  double sum = 0;
  for (const Member& member : members_) {
    if (member.demand.valid_until > now) {
      sum += member.demand.running;
    }
  }
  return sum;
}

double LimitLedger::FairAmount(Time now,
                               const Member& member,
                               LimitResource resource,
                               double total) const {
  std::vector<Claim> claims;
  claims.reserve(members_.size());
  double total_demand = 0;
  double weight = 0;
  for (const Member& other : members_) {
    if (other.demand.valid_until <= now) {
      continue;
    }
    claims.push_back({other.demand.amount[resource], other.demand.weight});
    total_demand += other.demand.amount[resource];
    weight += other.demand.weight;
  }
  const Demand& own = member.demand;
  if (total_demand > total) {
    const double level = WaterFillingLevel(std::move(claims), total);
    return std::min(own.amount[resource], level * own.weight);
  }
  const double spare = (total - total_demand) * kSpareGrantFraction;
  return own.amount[resource] + spare * own.weight / weight;
}

LimitVector LimitLedger::FairShare(Time now,
                                   const Member& member,
                                   const LimitVector& total) const {
  LimitVector share;
  for (const LimitResource resource : kLimitResources) {
    share[resource] = FairAmount(now, member, resource, total[resource]);
  }
  return share;
}

LimitVector LimitLedger::Grant(Time now,
                               PartyIndex party,
                               LimitSequence sequence,
                               const LimitVector& total,
                               double concurrency_unit,
                               Time expires) {
  Member& member = FindOrAddMember(party);
  LimitVector share = FairShare(now, member, total);
  // If the concurrency does not divide evenly, the parties that ask first get
  // the remainder. Running requests are included, because they cannot be
  // revoked.
  double& concurrency = share[LimitResource::kConcurrency];
  const double requested =
      std::min(concurrency, member.demand.amount[LimitResource::kConcurrency]);
  concurrency = std::max({RoundDownToUnit(concurrency, concurrency_unit),
                          RoundUpToUnit(requested, concurrency_unit),
                          member.demand.running});
  const LimitVector others = Held(now) - HeldBy(member, now);
  LimitVector amount = Min(share, Max(total - others, LimitVector()));
  amount[LimitResource::kConcurrency] =
      RoundDownToUnit(amount[LimitResource::kConcurrency], concurrency_unit);
  member.holdings.push_back({sequence, amount, expires});
  return amount;
}

void LimitLedger::DropExpired(Time now) {
  for (Member& member : members_) {
    std::erase_if(member.holdings, [now](const Holding& holding) {
      return holding.expires <= now;
    });
  }
  std::erase_if(members_, [now](const Member& member) {
    return member.holdings.empty() && member.demand.valid_until <= now;
  });
}

}  // namespace gcw
