#include "protocol/config_wire.h"

#include <algorithm>
#include <utility>

namespace gcw {

namespace {

void Put(const ConfigDigest& digest, wire::ConfigDigest* out) {
  out->set_digest(digest.digest);
  out->set_floor(digest.floor.value());
  out->set_ready(digest.ready);
  out->set_reply(digest.is_reply);
}

ConfigDigest Get(const wire::ConfigDigest& in, WireFieldChecker& checker) {
  return {in.digest(), checker.CountOf<Revision>(in.floor(), "digest.floor"),
          in.ready(), in.reply()};
}

void Put(const ConfigEntry& entry, wire::ConfigEntry* out) {
  out->set_key(entry.key);
  out->set_revision(entry.revision.value());
  if (entry.record.value) {
    out->set_value(*entry.record.value);
  }
  out->set_change(entry.record.change.value());
  for (const ConfigVersion& version : entry.record.history) {
    wire::ConfigVersion* const added = out->add_history();
    added->set_change(version.change.value());
    added->set_revision(version.revision.value());
  }
}

ConfigEntry Get(const wire::ConfigEntry& in, WireFieldChecker& checker) {
  ConfigEntry entry;
  entry.key = checker.RequiredId<ChangeId>(in.key(), "entry.key").value();
  entry.revision = checker.CountOf<Revision>(in.revision(), "entry.revision");
  if (in.has_value()) {
    entry.record.value = in.value();
  }
  entry.record.change = ChangeId(in.change());
  for (const wire::ConfigVersion& version : in.history()) {
    entry.record.history.push_back(
        {ChangeId(version.change()),
         checker.CountOf<Revision>(version.revision(), "history.revision")});
  }
  return entry;
}

using WireEntries = google::protobuf::RepeatedPtrField<wire::ConfigEntry>;

void Put(const std::vector<ConfigEntry>& entries, WireEntries* out) {
  for (const ConfigEntry& entry : entries) {
    Put(entry, out->Add());
  }
}

std::vector<ConfigEntry> Get(const WireEntries& in, WireFieldChecker& checker) {
  std::vector<ConfigEntry> entries;
  entries.reserve(static_cast<std::size_t>(in.size()));
  for (const wire::ConfigEntry& entry : in) {
    entries.push_back(Get(entry, checker));
  }
  return entries;
}

void PutBody(const ConfigDigest& message, wire::PeerBody& body) {
  Put(message, body.mutable_config_digest());
}

void PutBody(const ConfigBuckets& message, wire::PeerBody& body) {
  wire::ConfigBuckets* const out = body.mutable_config_buckets();
  Put(message.digest, out->mutable_digest());
  out->mutable_buckets()->Add(message.buckets.begin(), message.buckets.end());
}

void PutBody(const ConfigPull& message, wire::PeerBody& body) {
  wire::ConfigPull* const out = body.mutable_config_pull();
  out->mutable_buckets()->assign(message.buckets.begin(),
                                 message.buckets.end());
  for (const ConfigKeyRevision& held : message.held) {
    wire::ConfigKeyRevision* const added = out->add_held();
    added->set_key(held.key);
    added->set_revision(held.revision.value());
  }
}

void PutBody(const ConfigEntries& message, wire::PeerBody& body) {
  wire::ConfigEntries* const out = body.mutable_config_entries();
  Put(message.digest, out->mutable_digest());
  Put(message.entries, out->mutable_entries());
  for (const std::string& key : message.wanted) {
    out->add_wanted(key);
  }
  out->set_more(message.is_truncated);
  out->set_answers_pull(message.answers_pull);
}

void PutBody(const ConfigPush& message, wire::PeerBody& body) {
  wire::ConfigPush* const out = body.mutable_config_push();
  out->set_from(message.from.value());
  out->set_to(message.to.value());
  Put(message.entries, out->mutable_entries());
}

ConfigBuckets Get(const wire::ConfigBuckets& in, WireFieldChecker& checker) {
  ConfigBuckets message;
  message.digest = Get(in.digest(), checker);
  if (static_cast<std::size_t>(in.buckets_size()) != message.buckets.size()) {
    checker.Fail(PeerCodecErrorKind::kOutOfRange, "buckets");
    return message;
  }
  std::ranges::copy(in.buckets(), message.buckets.begin());
  return message;
}

ConfigPull Get(const wire::ConfigPull& in, WireFieldChecker& checker) {
  ConfigPull message;
  message.buckets.assign(in.buckets().begin(), in.buckets().end());
  if (std::ranges::any_of(message.buckets, [](std::uint8_t bucket) {
        return bucket >= ConfigStore::kBucketCount;
      })) {
    checker.Fail(PeerCodecErrorKind::kOutOfRange, "buckets");
  }
  for (const wire::ConfigKeyRevision& held : in.held()) {
    message.held.push_back({held.key(), checker.CountOf<Revision>(
                                            held.revision(), "held.revision")});
  }
  return message;
}

}  // namespace

wire::PeerBody ToWire(const ConfigMessage& message) {
  wire::PeerBody body;
  std::visit([&body](const auto& kind) { PutBody(kind, body); }, message);
  return body;
}

std::optional<ConfigMessage> ConfigFromWire(const wire::PeerBody& body,
                                            WireFieldChecker& checker) {
  switch (body.body_case()) {
    case wire::PeerBody::kConfigDigest:
      return Get(body.config_digest(), checker);
    case wire::PeerBody::kConfigBuckets:
      return Get(body.config_buckets(), checker);
    case wire::PeerBody::kConfigPull:
      return Get(body.config_pull(), checker);
    case wire::PeerBody::kConfigEntries: {
      const wire::ConfigEntries& in = body.config_entries();
      return ConfigEntries{Get(in.digest(), checker),
                           Get(in.entries(), checker),
                           {in.wanted().begin(), in.wanted().end()},
                           in.more(),
                           in.answers_pull()};
    }
    case wire::PeerBody::kConfigPush: {
      const wire::ConfigPush& in = body.config_push();
      return ConfigPush{checker.CountOf<Revision>(in.from(), "push.from"),
                        checker.CountOf<Revision>(in.to(), "push.to"),
                        Get(in.entries(), checker)};
    }
    default:
      return std::nullopt;
  }
}

}  // namespace gcw
