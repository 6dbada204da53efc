#ifndef COORDINATION_LIMITS_LIMIT_LEDGER_H_
#define COORDINATION_LIMITS_LIMIT_LEDGER_H_

#include <cstdint>
#include <vector>

#include "coordination/limits/limit_messages.h"

namespace gcw {

// A granter's grants of one contract, by party. Amounts are fractions of the
// contract's limits. Safety rests on one invariant: a new grant is at most the
// total less everything that the other parties may still be using.
class LimitLedger {
 public:
  // Index that a granter assigns to a party.
  using PartyIndex = std::size_t;

  struct Demand {
    LimitVector amount;
    // Fraction of the concurrency limit.
    double running = 0;
    double weight = 1;
    // The demand is ignored from this time on, unless the party reports again.
    Time valid_until;
  };

  void Observe(PartyIndex party, const Demand& demand);
  // The party has applied these grants and never goes back to older ones.
  void Acknowledge(PartyIndex party, LimitSequence applied);
  // Grants the party its fair share of `total` given the demand of all parties,
  // as far as it is free. `concurrency_unit` is one request as a fraction of
  // the concurrency limit.
  LimitVector Grant(Time now,
                    PartyIndex party,
                    LimitSequence sequence,
                    const LimitVector& total,
                    double concurrency_unit,
                    Time expires);

  // Upper bound of what all parties may use now.
  LimitVector Held(Time now) const;
  LimitVector TotalDemand(Time now) const;
  double TotalRunning(Time now) const;
  // Drops expired grants, and parties without grants or demand.
  void DropExpired(Time now);
  bool empty() const { return members_.empty(); }

 private:
  struct Holding {
    LimitSequence sequence;
    LimitVector amount;
    Time expires;
  };
  struct Member {
    PartyIndex party = 0;
    Demand demand;
    // Grants that the party may be using; which one is unknown until the party
    // acknowledges it.
    std::vector<Holding> holdings;
  };

  Member& FindOrAddMember(PartyIndex party);
  static LimitVector HeldBy(const Member& member, Time now);
  LimitVector FairShare(Time now,
                        const Member& member,
                        const LimitVector& total) const;
  double FairAmount(Time now,
                    const Member& member,
                    LimitResource resource,
                    double total) const;

  std::vector<Member> members_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_LEDGER_H_
