#ifndef COORDINATION_LIMITS_LIMIT_LEDGER_H_
#define COORDINATION_LIMITS_LIMIT_LEDGER_H_

#include <cstdint>
#include <vector>

#include "coordination/limits/limit_messages.h"

namespace gcw {

// What one granter has given out of one contract, and to whom. Amounts are
// fractions of the contract's limits. The one rule that safety rests on: a new
// grant is at most the total less everything that others may still be using.
class LimitLedger {
 public:
  // Index of a party at its granter.
  using PartyIndex = std::size_t;

  struct Demand {
    LimitVector amount;
    // As a fraction of the limit.
    double running = 0;
    double weight = 1;
    // The party is believed gone without a report until then.
    Time valid_until;
  };

  void Observe(PartyIndex party, const Demand& demand);
  // The party works by these grants or newer ones and never goes back.
  void Acknowledge(PartyIndex party, LimitSequence applied);
  // A fair part of `total` under all parties' demand, as far as it is free.
  // `concurrency_unit` is one request as a fraction of the limit.
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
  // Drops what has expired.
  void Expire(Time now);
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
    // A party uses one of these; which one is unknown until it acknowledges.
    std::vector<Holding> holdings;
  };

  Member& MemberOf(PartyIndex party);
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
