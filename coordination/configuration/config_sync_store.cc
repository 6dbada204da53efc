// Updates the node's copy from the replies of the key-value service, and
// decides when the copy is ready.

#include <algorithm>
#include <map>
#include <utility>

#include "coordination/configuration/config_sync.h"

namespace gcw {
namespace {

// Interval between reads while the service's replies show revisions below known
// ones.
constexpr Duration kBehindReadInterval = Duration::Seconds(2);

}  // namespace

bool ConfigSync::Merge(Time, const ConfigEntry& entry) {
  const ConfigMergeResult result = store_.Merge(entry);
  if (result != ConfigMergeResult::kApplied) {
    return false;
  }
  applied_.push_back(entry);
  if (ready_) {
    sink_({.kind = EventKind::kConfigurationApplied,
           .subject = entry.key,
           .cause = {},
           .fields = {{"revision", entry.revision.value()},
                      {"change", entry.record.change.value()}}});
  }
  return true;
}

void ConfigSync::OnBatch(Time now,
                         ConfigWatch& watch,
                         const ConfigBatch& batch) {
  const std::vector<ConfigEntry> entries = Decode(batch);
  if (ProvesRewind(watch.prefix(), batch, entries)) {
    MarkRewound(batch.revision);
    watch.RequestRead(now + kBehindReadInterval);
    return;
  }
  // Merging ignores older versions, so an old state does no harm here.
  for (const ConfigEntry& entry : entries) {
    Merge(now, entry);
  }
  if (IsBehind(now, batch)) {
    watch.RequestRead(now + kBehindReadInterval);
    return;
  }
  OnConsistentRead(watch, batch);
}

std::vector<ConfigEntry> ConfigSync::Decode(const ConfigBatch& batch) const {
  std::vector<ConfigEntry> entries;
  for (const StoreEntry& entry : batch.entries) {
    if (auto record = codec_.decode(entry.value)) {
      entries.push_back({entry.key, entry.revision, *std::move(record)});
    }
  }
  return entries;
}

// Returns true if the batch proves that the service was restored to an older
// state. Keys are never deleted, so the service's state at a revision holds
// every version up to it. A state that lacks a version that this node holds, or
// that holds another change under the same revision, has another history.
bool ConfigSync::ProvesRewind(const std::string& prefix,
                              const ConfigBatch& batch,
                              const std::vector<ConfigEntry>& entries) const {
  std::map<std::string, const ConfigEntry*> read;
  for (const ConfigEntry& entry : entries) {
    read[entry.key] = &entry;
    const ConfigEntry* own = store_.Find(entry.key);
    if (own != nullptr && own->revision == entry.revision &&
        own->record.change != entry.record.change) {
      return true;
    }
    // This node holds every change up to the floor, so this revision was
    // written twice.
    const bool newer = own == nullptr || own->revision < entry.revision;
    if (newer && entry.revision <= floor_) {
      return true;
    }
  }
  if (batch.after) {
    return false;
  }
  for (const auto& [key, own] : store_.entries()) {
    if (!key.starts_with(prefix) || own.revision > batch.revision) {
      continue;
    }
    const auto it = read.find(key);
    if (it == read.end() || it->second->revision < own.revision) {
      return true;
    }
  }
  return false;
}

// Returns true if the batch shows a revision below the one that was known when
// the call was sent. Starts a check if that goes on for `rewind_grace_period`.
bool ConfigSync::IsBehind(Time now, const ConfigBatch& batch) {
  if (batch.revision >= batch.known) {
    behind_since_.reset();
    return false;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  if (now - *behind_since_ >= settings_.rewind_grace_period) {
    CheckForRewind(now);
  }
  return true;
}

// Repeated reads from an old state look the same as a service that was restored
// to an older state. A compare-and-swap is always answered from the present
// state, so one that cannot match tells the two apart.
void ConfigSync::CheckForRewind(Time now) {
  const bool is_waiting =
      rewind_check_ && now - rewind_check_sent_ < settings_.watch.call_timeout;
  if (is_waiting || store_.entries().empty()) {
    return;
  }
  const auto newest =
      std::max_element(store_.entries().begin(), store_.entries().end(),
                       [](const auto& a, const auto& b) {
                         return a.second.revision < b.second.revision;
                       });
  rewind_check_version_ = {newest->first, newest->second.revision};
  rewind_check_ = ++last_id_;
  rewind_check_sent_ = now;
  requests_.push_back(
      {last_id_, StoreDelete{rewind_check_version_.key, kImpossibleRevision}});
}

void ConfigSync::OnRewindCheck(const StoreReply& reply) {
  rewind_check_.reset();
  const auto* conflict = std::get_if<StoreConflict>(&reply);
  if (conflict == nullptr) {
    return;
  }
  const Revision shown =
      conflict->current ? conflict->current->revision : Revision();
  if (shown < rewind_check_version_.revision) {
    MarkRewound(shown);
  } else {
    behind_since_.reset();
  }
}

void ConfigSync::MarkRewound(Revision shown) {
  fully_read_prefixes_.clear();
  if (rewound_) {
    return;
  }
  rewound_ = true;
  sink_({.kind = EventKind::kStoreRolledBack,
         .subject = self_.value(),
         .cause = {},
         .fields = {{"shown", shown.value()},
                    {"known", highest_revision().value()}}});
}

void ConfigSync::OnConsistentRead(const ConfigWatch& watch,
                                  const ConfigBatch& batch) {
  highest_seen_ = std::max(highest_seen_, batch.revision);
  if (!batch.after) {
    fully_read_prefixes_.insert(watch.prefix());
  }
  // The service is trusted again once it shows everything that this node holds.
  if (fully_read_prefixes_.size() == watches_.size()) {
    rewound_ = false;
  }
  if (rewound_) {
    return;
  }
  Revision& read_revision = read_revisions_[watch.prefix()];
  // A watch reports only changes after a revision and does not cover a gap
  // before it.
  if (!batch.after || *batch.after <= read_revision) {
    read_revision = std::max(read_revision, batch.revision);
  }
  RequestLaggingRevisions();
  Revision read_by_all = batch.revision;
  for (const ConfigWatch& other : watches_) {
    read_by_all = std::min(read_by_all, read_revisions_[other.prefix()]);
  }
  RaiseFloor(read_by_all);
}

// A change below one prefix raises the floor only if the other prefixes have
// been read up to its revision. Makes the watches that lag behind report their
// revision.
void ConfigSync::RequestLaggingRevisions() {
  for (ConfigWatch& watch : watches_) {
    if (read_revisions_[watch.prefix()] < store_.newest()) {
      watch.RequestRevision();
    }
  }
}

void ConfigSync::RaiseFloor(Revision revision) {
  floor_ = std::max(floor_, revision);
}

void ConfigSync::UpdateReadiness(Time) {
  if (ready_) {
    return;
  }
  if (!gossip_.SurveyDone()) {
    return;
  }
  const bool all_read = fully_read_prefixes_.size() == watches_.size();
  const bool all_fail =
      rewound_ || std::all_of(watches_.begin(), watches_.end(),
                              [](const ConfigWatch& w) { return w.failing(); });
  // Without a ready peer, the copies of all settled peers may be as empty as
  // this node's own.
  if (!all_read && !(all_fail && gossip_.SettledWithReadyPeer())) {
    return;
  }
  ready_ = true;
  gossip_.SetSurveying(false);
  sink_({.kind = EventKind::kConfigurationApplied,
         .subject = self_.value(),
         .cause = {},
         .fields = {
             {"entries", static_cast<std::int64_t>(store_.entries().size())},
             {"newest", store_.newest().value()},
             {"from_store", all_read}}});
}

ConfigDigest ConfigSync::OwnDigest() const {
  return {.digest = store_.Digest(),
          .floor = floor_,
          .ready = ready_,
          .is_reply = false};
}

}  // namespace gcw
