#ifndef COORDINATION_CONFIG_PROPOSER_H_
#define COORDINATION_CONFIG_PROPOSER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/backoff.h"
#include "state/state.h"

namespace gcw {

// A change that an operator asks for.
struct ConfigChange {
  std::string key;
  // Absent to withdraw the key.
  std::optional<std::string> value;
  // The revision that the operator saw; zero where the key must be absent or
  // withdrawn.
  Revision expected;
  // Chosen by the operator's client. The same change may be proposed again
  // under the same id, through any node, to learn its outcome.
  ChangeId change;
};

// The change is committed at this revision. Others may have followed since.
struct ChangeAccepted {
  Revision revision;
};

// The change did not take effect and never will: the key stands otherwise.
struct ChangeConflict {
  // Absent where the key does not exist.
  std::optional<ConfigEntry> current;
};

enum class ChangeUnavailableKind {
  // It did not take effect and never will.
  kNotWritten,
  // It may have taken effect or may still do so: ask again with its id.
  kOutcomeUnknown,
  // The service was set back behind what nodes hold; changes wait for an
  // operator.
  kStoreRewound,
};

std::string_view ChangeUnavailableKindName(ChangeUnavailableKind kind);

struct ChangeUnavailable {
  ChangeUnavailableKind kind = ChangeUnavailableKind::kNotWritten;
};

using ChangeOutcome =
    std::variant<ChangeAccepted, ChangeConflict, ChangeUnavailable>;

// The final answer to a proposed change.
struct ProposalFinished {
  ConfigChange change;
  ChangeOutcome outcome;
  // The committed entry; absent where there is none to pass on.
  std::optional<ConfigEntry> entry;
};

struct ConfigProposerSettings {
  // After this a change is answered as unavailable.
  Duration settle_timeout = Duration::Seconds(10);
  Duration call_timeout = Duration::Seconds(2);
  BackoffSettings backoff;
};

using ConfigProposerAction = std::variant<StoreRequest, ProposalFinished>;

// Commits changes by compare-and-swap and settles the ones whose answer was
// lost, by finding the change's id in the key's record or its history.
class ConfigProposer {
 public:
  class Builder;

  std::vector<ConfigProposerAction> Propose(Time now, ConfigChange change);
  std::vector<ConfigProposerAction> Tick(Time now);
  std::vector<ConfigProposerAction> OnStoreReply(Time now,
                                                 StoreCallId id,
                                                 const StoreReply& reply);
  std::size_t open_proposals() const { return open_.size(); }

 private:
  // A proposal under way.
  struct Proposal {
    ConfigChange change;
    Time deadline;
    Time next_call;
    Backoff backoff;
    // The version that the next put replaces; absent until it is known.
    std::optional<Revision> base;
    std::vector<ConfigVersion> base_history;
    // A put was sent and its outcome is not known.
    bool maybe_written = false;
    StoreCallId call;
    bool awaiting = false;
    bool call_is_put = false;
    Time call_sent;
  };

  ConfigProposer(ConfigProposerSettings settings,
                 ConfigRecordCodec codec,
                 std::function<const ConfigEntry*(const std::string&)> find,
                 std::function<bool()> rewound,
                 Random random,
                 EventSink sink);

  // One step: an outcome, or the next call where one is due.
  std::optional<ConfigProposerAction> Advance(Time now, Proposal& proposal);
  std::optional<ChangeOutcome> Judge(Proposal& proposal,
                                     const std::optional<ConfigEntry>& current);
  std::optional<ChangeOutcome> OnReply(Proposal& proposal,
                                       const StoreReply& reply);
  std::optional<ChangeOutcome> OnWritten(Proposal& proposal, Revision revision);
  std::optional<ChangeOutcome> JudgeLocal(Proposal& proposal);
  StoreRequest Call(Time now, Proposal& proposal);
  ConfigRecord NewRecord(const Proposal& proposal) const;
  std::optional<ConfigEntry> Decode(const StoreEntry& entry) const;
  ProposalFinished Finish(const Proposal& proposal, ChangeOutcome outcome);
  ChangeUnavailable GiveUp(const Proposal& proposal) const;

  ConfigProposerSettings settings_;
  ConfigRecordCodec codec_;
  std::function<const ConfigEntry*(const std::string&)> find_;
  std::function<bool()> rewound_;
  Random random_;
  EventSink sink_;

  std::map<ChangeId, Proposal> open_;
  StoreCallId last_id_;
};

class ConfigProposer::Builder {
 public:
  Builder& SetSettings(ConfigProposerSettings settings);
  Builder& SetCodec(ConfigRecordCodec codec);
  // The node's own copy of a key; null where it has none.
  Builder& SetFind(std::function<const ConfigEntry*(const std::string&)> find);
  // Whether the service is known to have been set back.
  Builder& SetRewound(std::function<bool()> rewound);
  Builder& SetRandom(Random random);
  Builder& SetEventSink(EventSink sink);
  ConfigProposer Build() const;

 private:
  ConfigProposerSettings settings_;
  ConfigRecordCodec codec_;
  std::function<const ConfigEntry*(const std::string&)> find_;
  std::function<bool()> rewound_ = [] { return false; };
  Random random_ = SeededRandom(0);
  EventSink sink_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_CONFIG_PROPOSER_H_
