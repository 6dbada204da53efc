#include "coordination/gateway/change_feed.h"

#include <algorithm>
#include <utility>

#include "core/core.h"

namespace gcw {
namespace {

Revision RevisionOf(const std::variant<StoreEntry, StoreDeletion>& change) {
  return std::visit([](const auto& each) { return each.revision; }, change);
}

}  // namespace

void ChangeFeed::StartAt(Revision revision) {
  changes_.clear();
  start_ = revision;
}

void ChangeFeed::Add(const std::vector<StoreEntry>& changed,
                     const std::vector<StoreDeletion>& deleted) {
  changes_.insert(changes_.end(), changed.begin(), changed.end());
  changes_.insert(changes_.end(), deleted.begin(), deleted.end());
  while (changes_.size() > most_changes_) {
    // The changes of one answer of the service are stored as two runs, each in
    // order. Raising the start to the dropped change's revision therefore also
    // excludes earlier ones in the other run.
    start_ = std::max(*start_, RevisionOf(changes_.front()));
    changes_.pop_front();
  }
}

void ChangeFeed::Ask(Time now, const ChangeQuestion& question) {
  questions_.push_back({question, now + question.wait});
}

std::vector<AnswerChanges> ChangeFeed::TakeAnswers(Time now,
                                                   Revision revision,
                                                   std::optional<Duration> age,
                                                   Duration lapse_left) {
  std::vector<AnswerChanges> answers;
  std::erase_if(questions_, [&](const Question& question) {
    const ChangeQuestion& asked = question.asked;
    const bool can_tell = age && start_ && asked.after >= *start_;
    if (can_tell && revision <= asked.after && now < question.until) {
      return false;
    }
    AnswerChanges& answer = answers.emplace_back();
    answer.id = asked.id;
    if (can_tell) {
      answer.changes = ChangesAfter(asked.after);
      answer.changes->revision = revision;
      answer.changes->age = *age;
      answer.changes->lapse_left = lapse_left;
    }
    return true;
  });
  return answers;
}

MirrorChanges ChangeFeed::ChangesAfter(Revision after) const {
  MirrorChanges told;
  for (const Change& change : changes_) {
    if (RevisionOf(change) <= after) {
      continue;
    }
    if (const auto* entry = std::get_if<StoreEntry>(&change)) {
      told.changed.push_back(*entry);
    } else {
      told.deleted.push_back(std::get<StoreDeletion>(change));
    }
  }
  return told;
}

}  // namespace gcw
