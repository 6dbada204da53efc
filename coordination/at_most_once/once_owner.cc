#include "coordination/at_most_once/once_owner.h"

#include <algorithm>
#include <string>
#include <utility>

namespace gcw {

OnceOwner::OnceOwner(OnceMember self,
                     OnceOwnerSettings settings,
                     IssuedKeysSettings issued,
                     Random random,
                     EventSink events)
    : self_(std::move(self)),
      settings_(settings),
      events_(std::move(events)),
      issued_(self_, issued, std::move(random)) {
  for (std::int64_t shard = 0; shard < settings_.shard_count; ++shard) {
    const OnceShardId id(shard);
    shards_.emplace(id, std::make_unique<OnceShardOwner>(id, self_, settings_,
                                                         MakeHooks(id)));
  }
}

OnceOwnerHooks OnceOwner::MakeHooks(OnceShardId shard) {
  OnceOwnerHooks hooks;
  hooks.call_store = [this](StoreCall call) {
    const StoreCallId id(++last_call_);
    actions_.emplace_back(StoreRequest{id, std::move(call)});
    return id;
  };
  hooks.reply = [this](const OncePendingClaim& claim, OnceVerdict verdict) {
    Reply(claim.from, claim.request.claim, std::move(verdict));
  };
  hooks.next_change = [this] {
    return ChangeId(self_.node.value() + "/" +
                    std::to_string(self_.incarnation.value()) + "/" +
                    std::to_string(++last_change_));
  };
  hooks.seen = [this] { return seen_; };
  hooks.on_revision = [this](Revision revision) { OnRevisionSeen(revision); };
  hooks.alive = [this](const OnceMember& member) { return Alive(member); };
  hooks.preferred = [this, shard] {
    return PreferredOnceOwner(shard, members_).value_or(OnceMember());
  };
  hooks.on_rewound = [this](const std::string& key) { OnRewound(key); };
  hooks.events = events_;
  return hooks;
}

void OnceOwner::Reply(const NodeId& to,
                      const OnceClaimId& claim,
                      OnceVerdict verdict) {
  actions_.emplace_back(
      OncePeerSend{to, OnceClaimReply{claim, std::move(verdict), seen_}});
}

bool OnceOwner::Alive(const OnceMember& member) const {
  return std::find(members_.begin(), members_.end(), member) != members_.end();
}

OnceOwnerActions OnceOwner::TakeActions() {
  return std::exchange(actions_, {});
}

OnceOwnerActions OnceOwner::OnMembers(Time now,
                                      std::vector<OnceMember> members) {
  members_ = std::move(members);
  if (rewound_ || releasing_) {
    return TakeActions();
  }
  for (auto& [id, shard] : shards_) {
    if (PreferredOnceOwner(id, members_) == self_) {
      shard->StartTakeoverIfNeeded(now);
    }
  }
  return TakeActions();
}

OnceOwnerActions OnceOwner::OnClaim(Time now,
                                    const NodeId& from,
                                    const OnceClaimRequest& request) {
  OnRevisionSeen(request.seen);
  if (const auto issued = IssuedKey::ParseScoped(request.key)) {
    if (issued->home == self_.node) {
      Reply(from, request.claim, issued_.Claim(now, request));
    } else {
      Reply(from, request.claim, OnceRedirect{issued->home});
    }
    return TakeActions();
  }
  if (rewound_ || request.key.value().size() > kMaxOnceKeyLength) {
    Reply(from, request.claim, OnceUndecided{});
    return TakeActions();
  }
  ShardFor(request.key).Claim(now, OncePendingClaim{from, request});
  return TakeActions();
}

OnceOwnerActions OnceOwner::OnFinish(Time now,
                                     const NodeId& from,
                                     const OnceFinish& finish) {
  const auto issued = IssuedKey::ParseScoped(finish.key);
  bool taken = false;
  if (issued && issued->home == self_.node) {
    issued_.Finish(now, finish);
    taken = true;
  } else if (!issued && !rewound_) {
    taken = ShardFor(finish.key).Finish(now, from, finish);
  }
  if (taken) {
    actions_.emplace_back(OncePeerSend{from, OnceFinishAck{finish.claim}});
  }
  return TakeActions();
}

OnceOwnerActions OnceOwner::OnStoreReply(Time now,
                                         StoreCallId id,
                                         const StoreReply& reply) {
  for (auto& [shard_id, shard] : shards_) {
    if (shard->OnStoreReply(now, id, reply)) {
      break;
    }
  }
  return TakeActions();
}

OnceOwnerActions OnceOwner::Tick(Time now) {
  issued_.Tick(now);
  if (rewind_pending_) {
    rewind_pending_ = false;
    for (auto& [id, shard] : shards_) {
      shard->OnRewound(now);
    }
  }
  if (!rewound_) {
    for (auto& [id, shard] : shards_) {
      shard->Tick(now);
    }
  }
  return TakeActions();
}

OnceOwnerActions OnceOwner::Release(Time now) {
  releasing_ = true;
  for (auto& [id, shard] : shards_) {
    shard->Release(now);
  }
  return TakeActions();
}

bool OnceOwner::released() const {
  return std::all_of(shards_.begin(), shards_.end(),
                     [](const auto& shard) { return shard.second->idle(); });
}

IdempotencyKey OnceOwner::IssueKey(Time now, const ContractId& contract) {
  return issued_.Issue(now, contract);
}

void OnceOwner::OnRevisionSeen(Revision revision) {
  seen_ = std::max(seen_, revision);
}

// Called when the record of one shard is older than a state that this node
// knows, so the records of the other shards may be too. The shards are given up
// at the next tick, because the calling shard is still in use.
void OnceOwner::OnRewound(const std::string& key) {
  rewound_ = true;
  rewind_pending_ = true;
  events_(EventDraft{EventKind::kStoreRolledBack,
                     key,
                     EventId(),
                     {EventField{"seen", seen_.value()}}});
}

void OnceOwner::AcceptRewound(Time now) {
  rewound_ = false;
  rewind_pending_ = false;
  seen_ = Revision();
  for (auto& [id, shard] : shards_) {
    shard->OnRewound(now);
  }
}

std::int64_t OnceOwner::owned_shards() const {
  return std::count_if(shards_.begin(), shards_.end(),
                       [](const auto& shard) { return shard.second->owned(); });
}

OnceShardOwner& OnceOwner::ShardFor(const IdempotencyKey& key) {
  return *shards_.at(OnceShardOf(key, settings_.shard_count));
}

OnceOwner::Builder& OnceOwner::Builder::SetSelf(NodeId node,
                                                Incarnation incarnation) {
  self_ = OnceMember{std::move(node), incarnation};
  return *this;
}

OnceOwner::Builder& OnceOwner::Builder::SetSettings(
    OnceOwnerSettings settings) {
  settings_ = settings;
  return *this;
}

OnceOwner::Builder& OnceOwner::Builder::SetIssuedKeys(
    IssuedKeysSettings settings) {
  issued_ = settings;
  return *this;
}

OnceOwner::Builder& OnceOwner::Builder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

OnceOwner::Builder& OnceOwner::Builder::SetEvents(EventSink events) {
  events_ = std::move(events);
  return *this;
}

std::unique_ptr<OnceOwner> OnceOwner::Builder::Build() const {
  // `std::make_unique` cannot call the private constructor.
  return std::unique_ptr<OnceOwner>(
      new OnceOwner(self_, settings_, issued_, random_, events_));
}

}  // namespace gcw
