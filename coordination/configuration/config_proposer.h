#ifndef COORDINATION_CONFIGURATION_CONFIG_PROPOSER_H_
#define COORDINATION_CONFIGURATION_CONFIG_PROPOSER_H_

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
  // The revision that the operator saw, of a tombstone too; zero where the key
  // was never written. The change can take effect on this version only.
  Revision expected;
  // Chosen by the operator's client. The same change may be proposed again
  // under the same id, through any node, to learn its outcome.
  ChangeId change;
  // Whether the operator proposed it before and got no final outcome.
  bool repeated = false;
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
  // The key as it stands after an accepted change; absent otherwise.
  std::optional<ConfigEntry> entry;
};

struct ConfigProposerSettings {
  // After this a change is answered as unavailable.
  Duration settle_timeout = Duration::Seconds(10);
  Duration call_timeout = Duration::Seconds(2);
  BackoffSettings backoff;
};

// What the proposer asks of the owner of the node's copy.
struct ConfigProposerHooks {
  // The node's own version of a key; null where it has none.
  std::function<const ConfigEntry*(const std::string&)> find;
  // The highest revision that the node knows of.
  std::function<Revision()> known;
  // Whether the service is known to have been set back.
  std::function<bool()> rewound;
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
    // The version that the next put replaces, zero for none; absent until it
    // is known.
    std::optional<Revision> base;
    // The base and the versions before it.
    std::vector<ConfigVersion> history;
    // A put went unanswered.
    bool maybe_written = false;
    std::optional<StoreCallId> call;
    bool call_is_put = false;
    Time call_sent;
    // The highest known revision, and the one of the node's own version of the
    // key, when the call was sent.
    Revision known_at_call;
    Revision own_at_call;
    // The key as the service last showed it.
    std::optional<ConfigEntry> seen;
  };

  ConfigProposer(ConfigProposerSettings settings,
                 ConfigRecordCodec codec,
                 ConfigProposerHooks hooks,
                 Random random,
                 EventSink sink);

  // An outcome, the next call where one is due, or nothing.
  std::optional<ConfigProposerAction> Advance(Time now, Proposal& proposal);
  std::optional<ChangeOutcome> OnReply(Time now,
                                       Proposal& proposal,
                                       const StoreReply& reply);
  std::optional<ChangeOutcome> OnWritten(const Proposal& proposal,
                                         Revision revision) const;
  std::optional<ChangeOutcome> OnConflict(Proposal& proposal,
                                          const StoreConflict& conflict);
  std::optional<ChangeOutcome> Judge(Proposal& proposal,
                                     const std::optional<ConfigEntry>& current);
  void StartFromOwnCopy(Proposal& proposal) const;
  StoreRequest Call(Time now, Proposal& proposal);
  void Wait(Time now, Proposal& proposal, Duration at_least);
  ConfigRecord NewRecord(const Proposal& proposal) const;
  std::optional<ConfigEntry> Decode(const StoreEntry& entry) const;
  ProposalFinished Finish(const Proposal& proposal, ChangeOutcome outcome);

  ConfigProposerSettings settings_;
  ConfigRecordCodec codec_;
  ConfigProposerHooks hooks_;
  Random random_;
  EventSink sink_;

  std::map<ChangeId, Proposal> open_;
  StoreCallId last_id_;
};

class ConfigProposer::Builder {
 public:
  Builder& SetSettings(ConfigProposerSettings settings);
  Builder& SetCodec(ConfigRecordCodec codec);
  Builder& SetHooks(ConfigProposerHooks hooks);
  Builder& SetRandom(Random random);
  Builder& SetEventSink(EventSink sink);
  ConfigProposer Build() const;

 private:
  ConfigProposerSettings settings_;
  ConfigRecordCodec codec_;
  ConfigProposerHooks hooks_;
  Random random_ = SeededRandom(0);
  EventSink sink_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_CONFIG_PROPOSER_H_
