#ifndef TESTS_SUPPORT_FAKE_STORE_H_
#define TESTS_SUPPORT_FAKE_STORE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/state.h"

namespace gcw {

// The rules of the key-value service without timeouts or faults: each call
// takes effect at once. `FakeStoreLink` adds delays and faults.
class FakeStore {
 public:
  struct Change {
    Revision revision;
    std::string key;
    // Absent if the key was deleted.
    std::optional<StoreEntry> entry;
  };

  // Returns nothing if a watch has nothing to report yet.
  std::optional<StoreReply> Execute(Time now, const StoreCall& call) {
    ExpireLeases(now);
    return std::visit(
        [&](const auto& typed) -> std::optional<StoreReply> {
          return Run(now, typed);
        },
        call);
  }

  // Reads the current state without expiring leases first.
  StoreReply Read(const StoreRange& range) const { return Run(Time(), range); }

  void ExpireLeases(Time now) {
    for (auto it = leases_.begin(); it != leases_.end();) {
      const auto current = it++;
      if (current->second.expires <= now) {
        EndLease(current->first);
      }
    }
  }

  // The current entries, for invariants.
  const std::map<std::string, StoreEntry>& entries() const { return entries_; }
  // All writes so far, in order.
  const std::vector<Change>& changes() const { return changes_; }
  Revision revision() const { return revision_; }
  bool HasLease(LeaseId lease) const { return leases_.contains(lease); }

  // Gives each lease its full time again after an outage, because leases do not
  // expire during one.
  void ExtendLeases(Time now) {
    for (auto& [id, lease] : leases_) {
      lease.expires = std::max(lease.expires, now + lease.time_to_live);
    }
  }

  // Skips revisions, as administrators of a restored service do.
  void BumpRevision(Revision by) { revision_ += by; }

 private:
  struct Lease {
    Duration time_to_live;
    Time expires;
  };

  StoreReply Run(Time, const StoreRange& range) const {
    StoreRangeReply reply{.revision = revision_, .entries = {}};
    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(range.prefix)) {
        reply.entries.push_back(entry);
      }
    }
    return reply;
  }

  StoreReply Run(Time, const StorePut& put) {
    if (put.lease != LeaseId() && !leases_.contains(put.lease)) {
      return StoreLeaseUnknown{};
    }
    if (const auto conflict = Compare(put.key, put.expected)) {
      return *conflict;
    }
    ++revision_;
    const StoreEntry entry{put.key, put.value, revision_, put.lease};
    entries_[put.key] = entry;
    changes_.push_back({revision_, put.key, entry});
    return StoreWritten{revision_};
  }

  StoreReply Run(Time, const StoreDelete& call) {
    if (const auto conflict = Compare(call.key, call.expected)) {
      return *conflict;
    }
    Erase(call.key);
    return StoreWritten{revision_};
  }

  StoreReply Run(Time now, const StoreLeaseGrant& grant) {
    const LeaseId lease(++last_lease_);
    leases_[lease] = {grant.time_to_live, now + grant.time_to_live};
    return StoreLeaseReply{lease, grant.time_to_live};
  }

  StoreReply Run(Time now, const StoreLeaseKeepAlive& call) {
    const auto it = leases_.find(call.lease);
    if (it == leases_.end()) {
      return StoreLeaseUnknown{};
    }
    it->second.expires = now + it->second.time_to_live;
    return StoreLeaseReply{call.lease, it->second.time_to_live};
  }

  StoreReply Run(Time, const StoreLeaseRevoke& call) {
    if (!leases_.contains(call.lease)) {
      return StoreLeaseUnknown{};
    }
    EndLease(call.lease);
    return StoreLeaseReply{call.lease, Duration()};
  }

  std::optional<StoreReply> Run(Time, const StoreWatch& watch) const {
    StoreWatchReply reply{revision_, {}, {}, false};
    for (const Change& change : changes_) {
      if (change.revision <= watch.after ||
          !change.key.starts_with(watch.prefix)) {
        continue;
      }
      if (change.entry) {
        reply.changed.push_back(*change.entry);
      } else {
        reply.deleted.push_back({change.key, change.revision});
      }
    }
    if (reply.changed.empty() && reply.deleted.empty()) {
      return std::nullopt;
    }
    return reply;
  }

  std::optional<StoreReply> Compare(const std::string& key,
                                    Revision expected) const {
    const auto it = entries_.find(key);
    const Revision current =
        it == entries_.end() ? Revision() : it->second.revision;
    if (current == expected &&
        (expected != Revision() || it == entries_.end())) {
      return std::nullopt;
    }
    StoreConflict conflict;
    if (it != entries_.end()) {
      conflict.current = it->second;
    }
    return conflict;
  }

  void Erase(const std::string& key) {
    ++revision_;
    entries_.erase(key);
    changes_.push_back({revision_, key, std::nullopt});
  }

  void EndLease(LeaseId lease) {
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_) {
      if (entry.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
  }

  std::map<std::string, StoreEntry> entries_;
  std::map<LeaseId, Lease> leases_;
  std::vector<Change> changes_;
  Revision revision_;
  std::int64_t last_lease_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_FAKE_STORE_H_
