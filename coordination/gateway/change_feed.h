#ifndef COORDINATION_GATEWAY_CHANGE_FEED_H_
#define COORDINATION_GATEWAY_CHANGE_FEED_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

using ChangeQuestionId = StrongNumber<struct ChangeQuestionIdTag>;

// Another node asks for the changes after a revision. The answer may wait for
// one to happen.
struct ChangeQuestion {
  ChangeQuestionId id;
  Revision after;
  Duration wait;
};

// What one node tells another of the key-value service.
struct MirrorChanges {
  // Everything up to it is told.
  Revision revision;
  std::vector<StoreEntry> changed;
  std::vector<StoreDeletion> deleted;
  // How long ago the teller's own copy was known to be complete.
  Duration age;
  // For how long the teller still holds removals back after an outage.
  Duration lapse_left;
};

// Absent where the node asked cannot tell, so that the asker has to turn to the
// service itself.
struct AnswerChanges {
  ChangeQuestionId id;
  std::optional<MirrorChanges> changes;
};

// Keeps the last changes and the questions of other nodes for them, so that one
// node watches the service for many.
class ChangeFeed {
 public:
  explicit ChangeFeed(std::size_t most_changes) : most_changes_(most_changes) {}

  // Changes up to this revision cannot be told.
  void StartAt(Revision revision);
  // Changes that follow those added before.
  void Add(const std::vector<StoreEntry>& changed,
           const std::vector<StoreDeletion>& deleted);

  void Ask(Time now, const ChangeQuestion& question);
  bool has_questions() const { return !questions_.empty(); }
  // Answers to the questions that need not wait any longer. `age` is absent
  // where this node's copy is not known to be fresh: nothing can be told then.
  std::vector<AnswerChanges> TakeAnswers(Time now,
                                         Revision revision,
                                         std::optional<Duration> age,
                                         Duration lapse_left);

 private:
  using Change = std::variant<StoreEntry, StoreDeletion>;
  struct Question {
    ChangeQuestion asked;
    Time until;
  };

  MirrorChanges ChangesAfter(Revision after) const;

  std::size_t most_changes_;
  std::deque<Change> changes_;
  // Absent before the first copy is complete.
  std::optional<Revision> start_;
  std::vector<Question> questions_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CHANGE_FEED_H_
