#include "protocol/crash_json.h"

#include <utility>

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

constexpr ChoiceNames<CrashState, 3> kStates{{
    {CrashState::kUnconfirmed, "unconfirmed"},
    {CrashState::kConfirmed, "confirmed"},
    {CrashState::kCleared, "cleared"},
}};

constexpr ChoiceNames<RunOutcome, 3> kOutcomes{{
    {RunOutcome::kUnknown, "unknown"},
    {RunOutcome::kHarmless, "harmless"},
    {RunOutcome::kSuspected, "suspected"},
}};

constexpr ChoiceNames<RunLockAnswer, 5> kAnswers{{
    {RunLockAnswer::kGranted, "granted"},
    {RunLockAnswer::kHarmless, "harmless"},
    {RunLockAnswer::kSuspected, "suspected"},
    {RunLockAnswer::kBusy, "busy"},
    {RunLockAnswer::kNoAnswer, "no_answer"},
}};

boost::json::object CrashToJson(const CrashId& crash) {
  return {{"vm", ToJson(crash.vm)}, {"incarnation", ToJson(crash.incarnation)}};
}

CrashId ReadCrash(JsonReader& reader) {
  return {reader.TextId<VmId>("vm"),
          reader.CountOf<Incarnation>("incarnation")};
}

boost::json::object NoticeToJson(const CrashNotice& notice) {
  boost::json::array crashes;
  for (const auto& [crash, report] : notice.crashes) {
    boost::json::object encoded = CrashToJson(crash);
    encoded["age_ms"] = report.age.millis();
    encoded["state"] = ChoiceToJson(report.state, kStates);
    encoded["apart"] = report.is_apart;
    crashes.push_back(std::move(encoded));
  }
  return {{"fingerprint", ToJson(notice.fingerprint)},
          {"part", ToJson(notice.part)},
          {"crashes", std::move(crashes)}};
}

boost::json::array NoticesToJson(const std::vector<CrashNotice>& notices) {
  boost::json::array encoded;
  for (const CrashNotice& notice : notices) {
    encoded.push_back(NoticeToJson(notice));
  }
  return encoded;
}

// Nodes and records of the version before have no parts.
PromptPartId ReadPart(JsonReader& reader) {
  return reader.Has("part") ? reader.TextId<PromptPartId>("part")
                            : PromptPartId();
}

CrashNotice ReadNotice(JsonReader& reader) {
  CrashNotice notice;
  notice.fingerprint = reader.CountOf<Fingerprint>("fingerprint");
  notice.part = ReadPart(reader);
  const auto crashes = reader.List("crashes", [](JsonReader& item) {
    return std::pair(
        ReadCrash(item),
        CrashReport{item.Enum("state", kStates), item.DurationMillis("age_ms"),
                    item.Has("apart") && item.Bool("apart")});
  });
  notice.crashes.insert(crashes.begin(), crashes.end());
  return notice;
}

}  // namespace

std::string EncodeCrashRecord(const CrashRecord& record) {
  boost::json::array crashes;
  for (const CrashId& crash : record.crashes) {
    crashes.push_back(CrashToJson(crash));
  }
  return boost::json::serialize(
      boost::json::object{{"part", ToJson(record.part)},
                          {"crashes", std::move(crashes)},
                          {"trials", record.trials},
                          {"trial_is_open", record.trial_is_open},
                          {"trial_holder", record.trial_holder},
                          {"failed_trials", record.failed_trials},
                          {"blocked_until_ms", record.blocked_until.millis()}});
}

Decoded<CrashRecord> DecodeCrashRecord(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    CrashRecord record;
    record.part = ReadPart(reader);
    const auto crashes = reader.List("crashes", ReadCrash);
    record.crashes.insert(crashes.begin(), crashes.end());
    record.trials = reader.Count("trials");
    record.trial_is_open = reader.Bool("trial_is_open");
    record.trial_holder = reader.Count("trial_holder");
    record.failed_trials = reader.Count("failed_trials");
    record.blocked_until = reader.TimeMillis("blocked_until_ms");
    return record;
  });
}

std::string EncodeCrashNotices(const std::vector<CrashNotice>& notices) {
  return boost::json::serialize(
      boost::json::object{{"requests", NoticesToJson(notices)}});
}

Decoded<std::vector<CrashNotice>> DecodeCrashNotices(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    return reader.List("requests", ReadNotice);
  });
}

std::string EncodeRunLockClaim(const RunLockClaim& claim) {
  return boost::json::serialize(
      boost::json::object{{"fingerprint", ToJson(claim.fingerprint)},
                          {"node", ToJson(claim.node)},
                          {"number", ToJson(claim.number)},
                          {"wait_ms", claim.wait.millis()}});
}

Decoded<RunLockClaim> DecodeRunLockClaim(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    RunLockClaim claim;
    claim.fingerprint = reader.CountOf<Fingerprint>("fingerprint");
    claim.node = reader.TextId<Address>("node");
    claim.number = reader.CountOf<RunLockClaimNumber>("number");
    claim.wait = reader.DurationMillis("wait_ms");
    return claim;
  });
}

std::string EncodeRunLockRelease(const RunLockRelease& release) {
  return boost::json::serialize(
      boost::json::object{{"fingerprint", ToJson(release.fingerprint)},
                          {"node", ToJson(release.node)},
                          {"number", ToJson(release.number)},
                          {"outcome", ChoiceToJson(release.outcome, kOutcomes)},
                          {"requests", NoticesToJson(release.notices)}});
}

Decoded<RunLockRelease> DecodeRunLockRelease(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    RunLockRelease release;
    release.fingerprint = reader.CountOf<Fingerprint>("fingerprint");
    release.node = reader.TextId<Address>("node");
    release.number = reader.CountOf<RunLockClaimNumber>("number");
    release.outcome = reader.Enum("outcome", kOutcomes);
    release.notices = reader.List("requests", ReadNotice);
    return release;
  });
}

std::string EncodeRunLockReply(const RunLockReply& reply) {
  return boost::json::serialize(
      boost::json::object{{"answer", ChoiceToJson(reply.answer, kAnswers)},
                          {"requests", NoticesToJson(reply.notices)}});
}

Decoded<RunLockReply> DecodeRunLockReply(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    RunLockReply reply;
    reply.answer = reader.Enum("answer", kAnswers);
    reply.notices = reader.List("requests", ReadNotice);
    return reply;
  });
}

std::string EncodeCrashBlocks(const std::vector<CrashBlock>& blocks) {
  boost::json::array encoded;
  for (const CrashBlock& block : blocks) {
    boost::json::array vms;
    for (const CrashId& crash : block.record.crashes) {
      vms.push_back(ToJson(crash.vm));
    }
    encoded.push_back(
        boost::json::object{{"fingerprint", ToJson(block.fingerprint)},
                            {"part", ToJson(block.record.part)},
                            {"crashed_vms", std::move(vms)},
                            {"failed_trials", block.record.failed_trials},
                            {"blocked_ms", block.remaining.millis()}});
  }
  return boost::json::serialize(
      boost::json::object{{"blocks", std::move(encoded)}});
}

}  // namespace gcw
