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

// A change that an operator requests.
struct ConfigChange {
  std::string key;
  // The new value, or no value to withdraw the key.
  std::optional<std::string> value;
  // The revision of the key that the operator saw, which may be a tombstone's,
  // or zero if the key was never written. The change takes effect only if the
  // key still has this revision.
  Revision expected_revision;
  // Chosen by the operator's client. The same change may be proposed again
  // under the same id through any node to learn its outcome.
  ChangeId id;
  // True if the operator proposed the change before without a final outcome.
  bool repeated = false;
};

// The change is committed at this revision. Other changes may have followed.
struct ChangeAccepted {
  Revision revision;
};

// The change did not take effect and never will, because the key does not have
// the expected version.
struct ChangeConflict {
  // The current entry, or no value if the key does not exist.
  std::optional<ConfigEntry> current;
};

enum class ChangeUnavailableKind {
  // The change did not take effect and never will.
  kNotWritten,
  // The change may have taken effect or may still do so. Proposing it again
  // with the same id tells.
  kOutcomeUnknown,
  // The key-value service was restored to a state older than what nodes hold.
  // Changes are refused until an operator has dealt with it.
  kStoreRolledBack,
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
  // The current entry of the key after an accepted change; no value otherwise.
  std::optional<ConfigEntry> entry;
};

struct ConfigProposerSettings {
  // A change without an outcome after this long is answered as unavailable.
  Duration proposal_timeout = Duration::Seconds(10);
  Duration call_timeout = Duration::Seconds(2);
  BackoffSettings backoff;
};

// Hooks into the owner of the node's copy.
struct ConfigProposerHooks {
  // Returns the node's own version of a key, or null if it has none.
  std::function<const ConfigEntry*(const std::string&)> find;
  // Returns the highest revision that the node knows of.
  std::function<Revision()> highest_revision;
  // Returns true if the service is known to have been restored to an older
  // state.
  std::function<bool()> is_rewound;
};

using ConfigProposerAction = std::variant<StoreRequest, ProposalFinished>;

// Commits changes by compare-and-swap. If the answer to a put is lost, the
// proposer determines the outcome by looking for the change's id in the key's
// record and history.
class ConfigProposer {
 public:
  class Builder;

  std::vector<ConfigProposerAction> Propose(Time now, ConfigChange change);
  std::vector<ConfigProposerAction> Tick(Time now);
  std::vector<ConfigProposerAction> OnStoreReply(Time now,
                                                 StoreCallId id,
                                                 const StoreReply& reply);
  std::size_t open_proposals() const { return proposals_.size(); }

 private:
  // A proposal without an outcome.
  struct Proposal {
    ConfigChange change;
    Time deadline;
    Time next_call;
    Backoff backoff;
    // The revision that the next put replaces, or zero if the key does not
    // exist. It has no value until that is known.
    std::optional<Revision> base_revision;
    // The base version and the versions before it.
    std::vector<ConfigVersion> history;
    // True if a put was not answered.
    bool may_be_written = false;
    std::optional<StoreCallId> call;
    bool call_is_put = false;
    Time call_sent;
    // The highest known revision and the revision of the node's own version of
    // the key when the call was sent.
    Revision known_at_call;
    Revision own_revision_at_call;
    // The key's entry in the last reply of the service.
    std::optional<ConfigEntry> latest_entry;
  };

  ConfigProposer(ConfigProposerSettings settings,
                 ConfigRecordCodec codec,
                 ConfigProposerHooks hooks,
                 Random random,
                 EventSink sink);

  // Returns an outcome, the next call if it is due, or no value.
  std::optional<ConfigProposerAction> Advance(Time now, Proposal& proposal);
  std::optional<ChangeOutcome> OnReply(Time now,
                                       Proposal& proposal,
                                       const StoreReply& reply);
  std::optional<ChangeOutcome> OnWritten(const Proposal& proposal,
                                         Revision revision) const;
  std::optional<ChangeOutcome> OnConflict(Proposal& proposal,
                                          const StoreConflict& conflict);
  std::optional<ChangeOutcome> DecideOutcome(
      Proposal& proposal,
      const std::optional<ConfigEntry>& current);
  void StartFromOwnCopy(Proposal& proposal) const;
  StoreRequest Call(Time now, Proposal& proposal);
  void ScheduleRetry(Time now, Proposal& proposal, Duration at_least);
  ConfigRecord NewRecord(const Proposal& proposal) const;
  std::optional<ConfigEntry> Decode(const StoreEntry& entry) const;
  ProposalFinished Finish(const Proposal& proposal, ChangeOutcome outcome);

  ConfigProposerSettings settings_;
  ConfigRecordCodec codec_;
  ConfigProposerHooks hooks_;
  Random random_;
  EventSink sink_;

  std::map<ChangeId, Proposal> proposals_;
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
