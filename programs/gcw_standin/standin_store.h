#ifndef PROGRAMS_GCW_STANDIN_STANDIN_STORE_H_
#define PROGRAMS_GCW_STANDIN_STANDIN_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "programs/gcw_standin/rate_limit.h"
#include "programs/gcw_standin/ticket.h"
#include "state/state.h"

namespace gcw {

struct StoreAnswer {
  StoreAnswer(Ticket answered, StoreReply answer)
      : ticket(answered), reply(std::move(answer)) {}

  Ticket ticket;
  StoreReply reply;
};

struct StoreCounts {
  // Calls that were not answered with `StoreRefused`. A watch is counted when
  // it arrives.
  std::int64_t calls = 0;
  std::int64_t writes = 0;
  std::int64_t busy = 0;
};

// An in-memory key-value service with compare-and-swap, leases, watches, rate
// limits and one revision counter. It has no I/O and no clock.
class StandinStore {
 public:
  struct Settings {
    // 0 means no limit, for both rates.
    double calls_per_second = 0;
    double writes_per_second = 0;
    // Number of changes kept for watches; older ones are compacted.
    std::size_t history = 10000;
    // First value of the revision counter. A lower value than in an earlier run
    // simulates a store that was restored from a backup.
    Revision first_revision = Revision(1);
  };

  explicit StandinStore(Settings settings);

  // Returns the answers that are due: the answer to the call, unless it is a
  // watch that has to wait, and the answers to the watches that the call
  // completed.
  std::vector<StoreAnswer> OnCall(Time now,
                                  Ticket ticket,
                                  const StoreCall& call);
  // Removes expired leases and returns the answers to watches that are due.
  std::vector<StoreAnswer> Tick(Time now);
  // Drops a pending watch whose caller has disconnected.
  void DropWatch(Ticket ticket);

  const StoreCounts& counts() const { return counts_; }

 private:
  struct Lease {
    Duration time_to_live;
    Time expires_at;
    std::set<std::string> keys;
  };

  struct Change {
    StoreEntry entry;
    bool deleted = false;
  };

  struct Watch {
    StoreWatch call;
    Time deadline;
    // No change up to this revision matches the watch.
    Revision checked_revision;
  };

  bool TakeRateTokens(Time now, const StoreCall& call);
  StoreRefused MakeBusyReply() const;

  StoreReply Execute(Time now, const StoreRange& call);
  StoreReply Execute(Time now, const StorePut& call);
  StoreReply Execute(Time now, const StoreDelete& call);
  StoreReply Execute(Time now, const StoreLeaseGrant& call);
  StoreReply Execute(Time now, const StoreLeaseKeepAlive& call);
  StoreReply Execute(Time now, const StoreLeaseRevoke& call);
  // Returns the reply to a watch that is due.
  StoreReply Execute(Time now, const StoreWatch& call);

  bool IsDue(Time now, Watch& watch) const;
  // Returns the first kept change after a revision.
  std::deque<Change>::const_iterator ChangesAfter(Revision revision) const;
  bool IsCompacted(Revision after) const;
  std::optional<StoreConflict> FindConflict(const std::string& key,
                                            Revision expected) const;
  void Erase(const std::string& key);
  void RemoveLease(LeaseId lease);
  void RemoveExpiredLeases(Time now);
  void AppendToHistory(Change change);
  void AnswerDueWatches(Time now, std::vector<StoreAnswer>& answers);

  Settings settings_;
  RateLimit call_rate_;
  RateLimit write_rate_;
  Revision revision_;
  // Changes up to this revision are no longer kept.
  Revision compacted_;
  LeaseId last_lease_;
  std::map<std::string, StoreEntry> entries_;
  std::map<LeaseId, Lease> leases_;
  std::deque<Change> history_;
  std::map<Ticket, Watch> watches_;
  StoreCounts counts_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_STANDIN_STORE_H_
