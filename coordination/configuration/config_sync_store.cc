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
constexpr Duration kBehindInterval = Duration::Seconds(2);

}  // namespace

bool ConfigSync::Merge(Time, const ConfigEntry& entry) {
  const ConfigMergeResult result = store_.Merge(entry);
  if (result != ConfigMergeResult::kApplied) {
    return false;
  }
  applied_.push_back(entry);
  if (learnt_) {
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
    watch.RequestRead(now + kBehindInterval);
    return;
  }
  // Merging ignores older versions, so an old state does no harm here.
  for (const ConfigEntry& entry : entries) {
    Merge(now, entry);
  }
  if (IsBehind(now, batch)) {
    watch.RequestRead(now + kBehindInterval);
    return;
  }
  OnGoodRead(watch, batch);
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
    // written
    // twice.
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
// the call was sent. Starts a check if that goes on for `rewind_grace`.
bool ConfigSync::IsBehind(Time now, const ConfigBatch& batch) {
  if (batch.revision >= batch.known) {
    behind_since_.reset();
    return false;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  if (now - *behind_since_ >= settings_.rewind_grace) {
    CheckForRewind(now);
  }
  return true;
}

// Repeated reads from an old state look the same as a service that was restored
// to an older state. A compare-and-swap is always answered from the present
// state, so one that cannot match tells the two apart.
void ConfigSync::CheckForRewind(Time now) {
  const bool waits =
      rewind_check_ && now - rewind_check_sent_ < settings_.watch.call_timeout;
  if (waits || store_.entries().empty()) {
    return;
  }
  const auto newest =
      std::max_element(store_.entries().begin(), store_.entries().end(),
                       [](const auto& a, const auto& b) {
                         return a.second.revision < b.second.revision;
                       });
  checked_ = {newest->first, newest->second.revision};
  rewind_check_ = ++last_id_;
  rewind_check_sent_ = now;
  requests_.push_back({last_id_, StoreDelete{checked_.key, kNoRevision}});
}

void ConfigSync::OnRewindCheck(const StoreReply& reply) {
  rewind_check_.reset();
  const auto* conflict = std::get_if<StoreConflict>(&reply);
  if (conflict == nullptr) {
    return;
  }
  const Revision shown =
      conflict->current ? conflict->current->revision : Revision();
  if (shown < checked_.revision) {
    MarkRewound(shown);
  } else {
    behind_since_.reset();
  }
}

void ConfigSync::MarkRewound(Revision shown) {
  read_well_.clear();
  if (rewound_) {
    return;
  }
  rewound_ = true;
  sink_({.kind = EventKind::kStoreRewound,
         .subject = self_.value(),
         .cause = {},
         .fields = {{"shown", shown.value()},
                    {"known", highest_revision().value()}}});
}

void ConfigSync::OnGoodRead(const ConfigWatch& watch,
                            const ConfigBatch& batch) {
  highest_seen_ = std::max(highest_seen_, batch.revision);
  if (!batch.after) {
    read_well_.insert(watch.prefix());
  }
  // The service is trusted again once it shows everything that this node holds.
  if (read_well_.size() == watches_.size()) {
    rewound_ = false;
  }
  if (rewound_) {
    return;
  }
  Revision& read_to = read_to_[watch.prefix()];
  // A watch reports only changes after a revision and does not cover a gap
  // before
  // it.
  if (!batch.after || *batch.after <= read_to) {
    read_to = std::max(read_to, batch.revision);
  }
  PokeLagging();
  Revision all = batch.revision;
  for (const ConfigWatch& each : watches_) {
    all = std::min(all, read_to_[each.prefix()]);
  }
  RaiseFloor(all);
}

// A change below one prefix raises the floor only if the other prefixes have
// been read up to its revision. Makes the watches that lag behind report their
// revision.
void ConfigSync::PokeLagging() {
  for (ConfigWatch& watch : watches_) {
    if (read_to_[watch.prefix()] < store_.newest()) {
      watch.Poke();
    }
  }
}

void ConfigSync::RaiseFloor(Revision revision) {
  floor_ = std::max(floor_, revision);
}

void ConfigSync::UpdateReadiness(Time) {
  if (learnt_) {
    return;
  }
  if (!gossip_.SurveyDone()) {
    return;
  }
  const bool all_read = read_well_.size() == watches_.size();
  const bool all_fail =
      rewound_ || std::all_of(watches_.begin(), watches_.end(),
                              [](const ConfigWatch& w) { return w.failing(); });
  // Without a ready peer, the copies of all settled peers may be as empty as
  // this
  // node's own.
  if (!all_read && !(all_fail && gossip_.SettledWithReadyPeer())) {
    return;
  }
  learnt_ = true;
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
          .ready = learnt_,
          .reply = false};
}

}  // namespace gcw
