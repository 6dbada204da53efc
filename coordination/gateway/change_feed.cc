#include "coordination/gateway/change_feed.h"

#include <algorithm>
#include <utility>

#include "core/core.h"

namespace gcw {
namespace {

Revision RevisionOf(const std::variant<StoreEntry, StoreDeletion>& change) {
  return std::visit(
      [](const auto& alternative) { return alternative.revision; }, change);
}

}  // namespace

void ChangeFeed::ResetTo(Revision revision) {
  changes_.clear();
  start_revision_ = revision;
}

void ChangeFeed::Add(const std::vector<StoreEntry>& changed,
                     const std::vector<StoreDeletion>& deleted) {
  changes_.insert(changes_.end(), changed.begin(), changed.end());
  changes_.insert(changes_.end(), deleted.begin(), deleted.end());
  while (changes_.size() > max_changes_) {
    // The changes of one answer of the service are stored as two runs, each in
    // order. Raising the start to the dropped change's revision therefore also
    // excludes earlier ones in the other run.
    start_revision_ = std::max(*start_revision_, RevisionOf(changes_.front()));
    changes_.pop_front();
  }
}

void ChangeFeed::AddRequest(Time now, const ChangesRequest& request) {
  pending_requests_.push_back({request, now + request.wait});
}

std::vector<ChangesReply> ChangeFeed::TakeReplies(Time now,
                                                  Revision revision,
                                                  std::optional<Duration> age,
                                                  Duration expiry_grace_left) {
  std::vector<ChangesReply> answers;
  std::erase_if(pending_requests_, [&](const PendingRequest& pending) {
    const ChangesRequest& request = pending.request;
    const bool is_available =
        age && start_revision_ && request.after >= *start_revision_;
    if (is_available && revision <= request.after && now < pending.deadline) {
      return false;
    }
    ChangesReply& answer = answers.emplace_back();
    answer.id = request.id;
    if (is_available) {
      answer.changes = ChangesAfter(request.after);
      answer.changes->revision = revision;
      answer.changes->age = *age;
      answer.changes->expiry_grace_left = expiry_grace_left;
    }
    return true;
  });
  return answers;
}

MirrorChanges ChangeFeed::ChangesAfter(Revision after) const {
  MirrorChanges result;
  for (const Change& change : changes_) {
    if (RevisionOf(change) <= after) {
      continue;
    }
    if (const auto* entry = std::get_if<StoreEntry>(&change)) {
      result.changed.push_back(*entry);
    } else {
      result.deleted.push_back(std::get<StoreDeletion>(change));
    }
  }
  return result;
}

}  // namespace gcw
