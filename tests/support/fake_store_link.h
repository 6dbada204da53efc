#ifndef TESTS_SUPPORT_FAKE_STORE_LINK_H_
#define TESTS_SUPPORT_FAKE_STORE_LINK_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/fake_store.h"

namespace gcw {

// Faults between callers and the key-value service. Rates are fractions of all
// calls, from 0 to 1.
struct FakeStoreFaults {
  Duration min_delay = Duration::Millis(1);
  // Applies to each direction. Delays vary, so that calls can overtake each
  // other.
  Duration max_delay = Duration::Millis(5);
  // While set, calls do not arrive and replies are not sent.
  bool outage = false;
  double request_loss_rate = 0;
  double reply_loss_rate = 0;
  double busy_rate = 0;
  // Each call is answered as if its lease had expired, without reaching the
  // store.
  bool lease_unknown = false;
  // Fraction of reads that are answered from the last snapshot.
  double stale_read_rate = 0;
};

// Delivers calls to a `FakeStore` and replies back in virtual time. Lost calls
// get no reply at all, as on a stalled connection.
class FakeStoreLink {
 public:
  struct Delivery {
    std::string caller;
    StoreCallId id;
    StoreReply reply;
  };

  explicit FakeStoreLink(Random random) : random_(std::move(random)) {}

  FakeStore& store() { return store_; }
  const FakeStore& store() const { return store_; }
  FakeStoreFaults& faults() { return faults_; }
  // Sets the predicate for callers that reach the service; initially all do.
  void SetReachable(std::function<bool(const std::string& caller)> reaches) {
    reaches_ = std::move(reaches);
  }

  void SetOutage(Time now, bool outage) {
    if (faults_.outage && !outage) {
      store_.ExtendLeases(now);
    }
    faults_.outage = outage;
  }
  // Saves the current state for `Restore` and for stale reads.
  void Snapshot() { snapshot_ = store_; }
  // Returns the service to the last snapshot, as after the restore of a backup.
  void Restore() { store_ = snapshot_; }

  void Send(Time now, std::string caller, StoreCallId id, StoreCall call) {
    ++calls_;
    if (faults_.outage || !reaches_(caller) ||
        Chance(faults_.request_loss_rate)) {
      return;
    }
    if (faults_.lease_unknown) {
      replies_.push_back(
          {now + Delay(), {std::move(caller), id, StoreLeaseUnknown{}}});
      return;
    }
    PendingCall pending{
        now + Delay(), {}, std::move(caller), id, std::move(call)};
    if (const auto* watch = std::get_if<StoreWatch>(&pending.call)) {
      pending.watch_ends = pending.due_time + watch->wait;
    }
    pending_calls_.push_back(std::move(pending));
  }

  // Executes the calls that have arrived by `now` and returns the replies that
  // have come back.
  std::vector<Delivery> Deliver(Time now) {
    if (!faults_.outage) {
      store_.ExpireLeases(now);
      RunArrived(now);
    }
    std::vector<Delivery> due;
    std::erase_if(replies_, [&](Reply& reply) {
      if (reply.due_time > now) {
        return false;
      }
      due.push_back(std::move(reply.delivery));
      return true;
    });
    return due;
  }

  // Counters of all calls so far and of the watches that are waiting.
  std::int64_t calls() const { return calls_; }
  std::size_t waiting_watches() const {
    std::size_t count = 0;
    for (const PendingCall& pending : pending_calls_) {
      count += std::holds_alternative<StoreWatch>(pending.call) ? 1 : 0;
    }
    return count;
  }

 private:
  struct PendingCall {
    Time due_time;
    Time watch_ends;
    std::string caller;
    StoreCallId id;
    StoreCall call;
  };
  struct Reply {
    Time due_time;
    Delivery delivery;
  };

  bool Chance(double probability) {
    return probability > 0 && DrawUnit(random_) < probability;
  }

  Duration Delay() {
    const auto delay_range =
        faults_.max_delay.millis() - faults_.min_delay.millis();
    return faults_.min_delay +
           Duration::Millis(static_cast<std::int64_t>(DrawBelow(
               random_, static_cast<std::uint64_t>(delay_range) + 1)));
  }

  void RunArrived(Time now) {
    std::vector<PendingCall> pending = std::move(pending_calls_);
    pending_calls_.clear();
    for (PendingCall& call : pending) {
      if (call.due_time > now || !Run(now, call)) {
        pending_calls_.push_back(std::move(call));
      }
    }
  }

  // Returns false if a watch is still waiting.
  bool Run(Time now, const PendingCall& pending) {
    std::optional<StoreReply> reply = Answer(now, pending);
    if (!reply) {
      return false;
    }
    if (!Chance(faults_.reply_loss_rate) && reaches_(pending.caller)) {
      replies_.push_back(
          {now + Delay(), {pending.caller, pending.id, *std::move(reply)}});
    }
    return true;
  }

  std::optional<StoreReply> Answer(Time now, const PendingCall& pending) {
    if (Chance(faults_.busy_rate)) {
      return StoreRefused{Duration::Millis(200)};
    }
    if (const auto* range = std::get_if<StoreRange>(&pending.call);
        range != nullptr && Chance(faults_.stale_read_rate)) {
      return snapshot_.Read(*range);
    }
    auto reply = store_.Execute(now, pending.call);
    if (!reply && pending.watch_ends <= now) {
      return StoreWatchReply{store_.revision(), {}, {}, false};
    }
    return reply;
  }

  Random random_;
  FakeStore store_;
  FakeStore snapshot_;
  FakeStoreFaults faults_;
  std::function<bool(const std::string&)> reaches_ = [](const std::string&) {
    return true;
  };
  std::vector<PendingCall> pending_calls_;
  std::vector<Reply> replies_;
  std::int64_t calls_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_FAKE_STORE_LINK_H_
