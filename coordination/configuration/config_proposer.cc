#include "coordination/configuration/config_proposer.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Returns true if `current` is the version that the operator expects.
bool MatchesExpected(const std::optional<ConfigEntry>& current,
                     Revision expected) {
  if (expected == Revision()) {
    return !current;
  }
  return current && current->revision == expected;
}

// Returns the revision that `change` wrote, if the entry or its history still
// names it.
std::optional<Revision> FindChange(const ConfigEntry& entry,
                                   const ChangeId& change) {
  if (entry.record.change == change) {
    return entry.revision;
  }
  for (const ConfigVersion& version : entry.record.history) {
    if (version.change == change) {
      return version.revision;
    }
  }
  return std::nullopt;
}

// Returns true if the history names every version after `base_revision`.
bool HistoryReaches(const ConfigEntry& entry, Revision base_revision) {
  const auto& history = entry.record.history;
  return history.size() < ConfigRecord::kHistoryLimit ||
         history.back().revision <= base_revision;
}

// Returns the entry's version, followed by those before it.
std::vector<ConfigVersion> VersionsOf(const ConfigEntry& entry) {
  std::vector<ConfigVersion> versions = {{entry.record.change, entry.revision}};
  versions.insert(versions.end(), entry.record.history.begin(),
                  entry.record.history.end());
  if (versions.size() > ConfigRecord::kHistoryLimit) {
    versions.resize(ConfigRecord::kHistoryLimit);
  }
  return versions;
}

}  // namespace

std::string_view ChangeUnavailableKindName(ChangeUnavailableKind kind) {
  switch (kind) {
    case ChangeUnavailableKind::kNotWritten:
      return "not_written";
    case ChangeUnavailableKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ChangeUnavailableKind::kStoreRolledBack:
      return "store_rewound";
  }
  return "unknown";
}

ConfigProposer::ConfigProposer(ConfigProposerSettings settings,
                               ConfigRecordCodec codec,
                               ConfigProposerHooks hooks,
                               Random random,
                               EventSink sink)
    : settings_(settings),
      codec_(std::move(codec)),
      hooks_(std::move(hooks)),
      random_(std::move(random)),
      sink_(std::move(sink)) {}

std::vector<ConfigProposerAction> ConfigProposer::Propose(Time now,
                                                          ConfigChange change) {
  if (proposals_.contains(change.id)) {
    return {};
  }
  Proposal proposal{.change = std::move(change),
                    .deadline = now + settings_.proposal_timeout,
                    .next_call = now,
                    .backoff = Backoff(settings_.backoff),
                    .base_revision = {},
                    .history = {},
                    .may_be_written = false,
                    .call = {},
                    .call_is_put = false,
                    .call_sent = {},
                    .known_at_call = {},
                    .own_revision_at_call = {},
                    .latest_entry = {}};
  const ConfigEntry* own = hooks_.find(proposal.change.key);
  if (own != nullptr) {
    // The operator asks again about a change that is known to be committed.
    if (const auto revision = FindChange(*own, proposal.change.id)) {
      proposal.latest_entry = *own;
      return {Finish(proposal, ChangeAccepted{*revision})};
    }
  }
  StartFromOwnCopy(proposal);
  const auto [it, inserted] =
      proposals_.emplace(proposal.change.id, std::move(proposal));
  std::optional<ConfigProposerAction> action = Advance(now, it->second);
  if (!action) {
    return {};
  }
  if (std::holds_alternative<ProposalFinished>(*action)) {
    proposals_.erase(it);
  }
  return {*std::move(action)};
}

void ConfigProposer::StartFromOwnCopy(Proposal& proposal) const {
  const ConfigEntry* own = hooks_.find(proposal.change.key);
  const auto current =
      own == nullptr ? std::nullopt : std::optional<ConfigEntry>(*own);
  // The node's own copy may be out of date, so it never decides a conflict. A
  // version that the operator expects is a good first guess for the
  // compare-and-swap.
  if (!MatchesExpected(current, proposal.change.expected_revision)) {
    return;
  }
  proposal.base_revision = current ? current->revision : Revision();
  proposal.history =
      current ? VersionsOf(*current) : std::vector<ConfigVersion>();
}

std::vector<ConfigProposerAction> ConfigProposer::Tick(Time now) {
  std::vector<ConfigProposerAction> actions;
  for (auto it = proposals_.begin(); it != proposals_.end();) {
    const auto current = it++;
    std::optional<ConfigProposerAction> action = Advance(now, current->second);
    if (!action) {
      continue;
    }
    const bool finished = std::holds_alternative<ProposalFinished>(*action);
    actions.push_back(*std::move(action));
    if (finished) {
      proposals_.erase(current);
    }
  }
  return actions;
}

std::optional<ConfigProposerAction> ConfigProposer::Advance(
    Time now,
    Proposal& proposal) {
  if (hooks_.is_rewound()) {
    return Finish(proposal,
                  ChangeUnavailable{ChangeUnavailableKind::kStoreRolledBack});
  }
  const bool put_is_open = proposal.call && proposal.call_is_put;
  if (now >= proposal.deadline) {
    const bool unknown =
        proposal.may_be_written || put_is_open || proposal.change.repeated;
    return Finish(proposal, ChangeUnavailable{
                                unknown ? ChangeUnavailableKind::kOutcomeUnknown
                                        : ChangeUnavailableKind::kNotWritten});
  }
  if (proposal.call && now - proposal.call_sent >= settings_.call_timeout) {
    proposal.may_be_written |= put_is_open;
    ScheduleRetry(now, proposal, Duration());
  }
  if (proposal.call || now < proposal.next_call) {
    return std::nullopt;
  }
  return Call(now, proposal);
}

StoreRequest ConfigProposer::Call(Time now, Proposal& proposal) {
  proposal.call = ++last_id_;
  proposal.call_sent = now;
  proposal.known_at_call = hooks_.highest_revision();
  const ConfigEntry* own = hooks_.find(proposal.change.key);
  proposal.own_revision_at_call = own == nullptr ? Revision() : own->revision;
  proposal.call_is_put = proposal.base_revision.has_value();
  if (!proposal.base_revision) {
    // Reads the key by a compare-and-swap that cannot match. A plain read may
    // be answered from an old state, and the operator would be told of a
    // conflict although the change has taken effect.
    return {last_id_, StoreDelete{proposal.change.key, kImpossibleRevision}};
  }
  // After a lost answer, the same put is sent again. It cannot take effect
  // twice because the first put changes the key's revision from
  // `base_revision`. The second put then conflicts, and the conflict shows the
  // change id of the first.
  return {last_id_, StorePut{.key = proposal.change.key,
                             .value = codec_.encode(NewRecord(proposal)),
                             .expected = *proposal.base_revision,
                             .lease = LeaseId()}};
}

ConfigRecord ConfigProposer::NewRecord(const Proposal& proposal) const {
  return {.value = proposal.change.value,
          .change = proposal.change.id,
          .history = proposal.history};
}

std::vector<ConfigProposerAction> ConfigProposer::OnStoreReply(
    Time now,
    StoreCallId id,
    const StoreReply& reply) {
  const auto it =
      std::find_if(proposals_.begin(), proposals_.end(),
                   [&](const auto& p) { return p.second.call == id; });
  if (it == proposals_.end()) {
    return {};
  }
  Proposal& proposal = it->second;
  if (const auto outcome = OnReply(now, proposal, reply)) {
    const ProposalFinished finished = Finish(proposal, *outcome);
    proposals_.erase(it);
    return {finished};
  }
  if (auto action = Advance(now, proposal)) {
    const bool finished = std::holds_alternative<ProposalFinished>(*action);
    if (finished) {
      proposals_.erase(it);
    }
    return {*std::move(action)};
  }
  return {};
}

std::optional<ChangeOutcome> ConfigProposer::OnReply(Time now,
                                                     Proposal& proposal,
                                                     const StoreReply& reply) {
  if (const auto* refused = std::get_if<StoreRefused>(&reply)) {
    ScheduleRetry(now, proposal, refused->retry_after);
    return std::nullopt;
  }
  if (std::holds_alternative<StoreNoAnswer>(reply)) {
    proposal.may_be_written |= proposal.call_is_put;
    ScheduleRetry(now, proposal, Duration());
    return std::nullopt;
  }
  proposal.call.reset();
  if (const auto* written = std::get_if<StoreWritten>(&reply)) {
    return OnWritten(proposal, written->revision);
  }
  if (const auto* conflict = std::get_if<StoreConflict>(&reply)) {
    return OnConflict(proposal, *conflict);
  }
  return std::nullopt;
}

std::optional<ChangeOutcome> ConfigProposer::OnWritten(
    const Proposal& proposal,
    Revision revision) const {
  if (revision <= proposal.known_at_call) {
    // Nodes already hold newer versions and would never apply this one.
    return ChangeUnavailable{ChangeUnavailableKind::kStoreRolledBack};
  }
  return ChangeAccepted{revision};
}

std::optional<ChangeOutcome> ConfigProposer::OnConflict(
    Proposal& proposal,
    const StoreConflict& conflict) {
  std::optional<ConfigEntry> current;
  if (conflict.current) {
    current = Decode(*conflict.current);
  }
  const Revision found =
      conflict.current ? conflict.current->revision : Revision();
  // Keys of the configuration are never deleted, their revisions only grow, and
  // a compare-and-swap is never answered from an old state.
  if (found < proposal.base_revision.value_or(Revision()) ||
      found < proposal.own_revision_at_call) {
    return ChangeUnavailable{ChangeUnavailableKind::kStoreRolledBack};
  }
  return DecideOutcome(proposal, current);
}

std::optional<ChangeOutcome> ConfigProposer::DecideOutcome(
    Proposal& proposal,
    const std::optional<ConfigEntry>& current) {
  proposal.latest_entry = current;
  if (current) {
    if (const auto revision = FindChange(*current, proposal.change.id)) {
      return ChangeAccepted{*revision};
    }
  }
  if (MatchesExpected(current, proposal.change.expected_revision)) {
    proposal.base_revision = current ? current->revision : Revision();
    proposal.history =
        current ? VersionsOf(*current) : std::vector<ConfigVersion>();
    return std::nullopt;
  }
  // Other changes to the key have followed. If this change had been committed
  // before them, the history would name it, unless it does not reach back far
  // enough.
  const bool may_be_committed =
      proposal.may_be_written || proposal.change.repeated;
  if (may_be_committed && current &&
      !HistoryReaches(*current, proposal.change.expected_revision)) {
    return ChangeUnavailable{ChangeUnavailableKind::kOutcomeUnknown};
  }
  return ChangeConflict{current};
}

void ConfigProposer::ScheduleRetry(Time now,
                                   Proposal& proposal,
                                   Duration at_least) {
  proposal.call.reset();
  proposal.next_call = now + std::max(at_least, proposal.backoff.Next(random_));
}

std::optional<ConfigEntry> ConfigProposer::Decode(
    const StoreEntry& entry) const {
  std::optional<ConfigRecord> record = codec_.decode(entry.value);
  if (!record) {
    return std::nullopt;
  }
  return ConfigEntry{entry.key, entry.revision, *std::move(record)};
}

ProposalFinished ConfigProposer::Finish(const Proposal& proposal,
                                        ChangeOutcome outcome) {
  ProposalFinished finished{proposal.change, std::move(outcome), std::nullopt};
  const auto* accepted = std::get_if<ChangeAccepted>(&finished.outcome);
  if (accepted != nullptr) {
    // Other changes may already have replaced this one.
    finished.entry = proposal.latest_entry && proposal.latest_entry->revision >=
                                                  accepted->revision
                         ? proposal.latest_entry
                         : ConfigEntry{proposal.change.key, accepted->revision,
                                       NewRecord(proposal)};
    sink_({.kind = proposal.change.value ? EventKind::kContractAccepted
                                         : EventKind::kContractWithdrawn,
           .subject = proposal.change.key,
           .cause = {},
           .fields = {{"revision", accepted->revision.value()},
                      {"change", proposal.change.id.value()}}});
  } else if (std::holds_alternative<ChangeConflict>(finished.outcome)) {
    sink_({.kind = EventKind::kContractConflict,
           .subject = proposal.change.key,
           .cause = {},
           .fields = {{"expected", proposal.change.expected_revision.value()},
                      {"change", proposal.change.id.value()}}});
  }
  return finished;
}

ConfigProposer::Builder& ConfigProposer::Builder::SetSettings(
    ConfigProposerSettings settings) {
  settings_ = settings;
  return *this;
}

ConfigProposer::Builder& ConfigProposer::Builder::SetCodec(
    ConfigRecordCodec codec) {
  codec_ = std::move(codec);
  return *this;
}

ConfigProposer::Builder& ConfigProposer::Builder::SetHooks(
    ConfigProposerHooks hooks) {
  hooks_ = std::move(hooks);
  return *this;
}

ConfigProposer::Builder& ConfigProposer::Builder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

ConfigProposer::Builder& ConfigProposer::Builder::SetEventSink(EventSink sink) {
  sink_ = std::move(sink);
  return *this;
}

ConfigProposer ConfigProposer::Builder::Build() const {
  return ConfigProposer(settings_, codec_, hooks_, random_, sink_);
}

}  // namespace gcw
