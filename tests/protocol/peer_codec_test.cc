#include "protocol/peer_codec.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "protocol/peer.pb.h"

namespace gcw {
namespace {

MemberRumor AliveRumor() {
  NodeRecord record;
  record.id = NodeId("n");
  record.zone = ZoneId("z");
  record.weight = 2;
  record.leaving = true;
  record.incarnation = Incarnation(6);
  return {NodeId("n"), {Incarnation(4), 5}, MemberState::kAlive, record};
}

std::vector<Rumor> SampleRumors() {
  return {AliveRumor(), MemberRumor{NodeId("m"), {}, MemberState::kDead, {}},
          DeltaRumor{
              NodeId("n"),
              {},
              6,
              FingerprintDelta{Fingerprint(-7), false, 8, Duration::Millis(9)}},
          DeltaRumor{NodeId("n"),
                     {},
                     10,
                     RoleHolderDelta{RoleName("limit/3"), FencingToken(11)}}};
}

ConfigEntry SampleEntry() {
  return {"contract/a",
          Revision(13),
          {std::string("\xff\0x", 3),
           ChangeId("c"),
           {{ChangeId("b"), Revision(12)}}}};
}

OnceAnswer SampleAnswer() {
  return {201, {{"X-A", "\xff"}}, std::string("a\0b", 3)};
}

// Leaves out `taken_at`, which is sent as an age.
LoadReport SampleReport() {
  LoadReport report;
  report.endpoint = EndpointId("e");
  report.generation = Generation(1);
  report.queued_requests = 2;
  report.running_requests = 3;
  report.batch_limit = 4;
  report.queued_prompt_tokens = TokenCount(5);
  report.cache_used = TokenCount(6);
  report.cache_capacity = TokenCount(7);
  return report;
}

LimitBatch SampleLimits() {
  LimitReport report;
  report.sender = {NodeId("n"), Incarnation(1)};
  report.kind = LimitReporter::kRelay;
  report.echo = LimitEcho{Incarnation(2), Time::FromMillis(3)};
  report.ceding_nodes = {NodeId("m")};
  report.demands = {{ContractId("c"), {0.1, 0.2, 0.3}, 0.4}};
  LimitGrants grants;
  grants.fence = FencingToken(5);
  grants.lifetime = Duration::Millis(6);
  grants.grants = {{ContractId("c"), {1.0 / 3, 0, 1}}};
  return {{report}, {grants}};
}

// Returns at least one message of each kind, with every alternative of its
// variants.
std::vector<PeerMessage> SampleMessages() {
  ConfigBuckets buckets;
  buckets.buckets[63] = ~0ULL;
  PresenceReport presence;
  presence.stamp = Time::FromMillis(14);
  presence.entries = {
      {EndpointId("e"), Generation(1), Presence::kComplete, false},
      {EndpointId("f"), Generation(), Presence::kLeaving, true}};
  std::vector<PeerMessage> messages = {
      MembershipMessage(Ping{ProbeId(1), {Incarnation(2), 3}, SampleRumors()}),
      MembershipMessage(PingRequest{ProbeId(1), NodeId("t"), {}, {}}),
      MembershipMessage(PingAck{ProbeId(1), NodeId("t"), {}, SampleRumors()}),
      MembershipMessage(UrgentRumors{{}, SampleRumors()}),
      MembershipMessage(MemberListRequest{MemberVersion::Highest()}),
      MembershipMessage(MemberList{{}, {AliveRumor()}}),
      ConfigMessage(ConfigDigest{~0ULL, Revision(1), true, true}),
      ConfigMessage(buckets),
      ConfigMessage(ConfigPull{{0, 63}, {{"k", Revision(2)}}}),
      ConfigMessage(ConfigEntries{
          {}, {SampleEntry(), {"gone", Revision(3), {}}}, {"w"}, true, true}),
      ConfigMessage(ConfigPush{Revision(1), Revision(2), {SampleEntry()}}),
      GuardMessage(PermitRequest{
          AttemptId("a"), Fingerprint(-1), {EndpointId("e")}, EndpointId("f")}),
      GuardMessage(PermitDone{AttemptId("a"), std::nullopt}),
      GuardMessage(PermitDone{
          AttemptId("a"),
          FingerprintDelta{Fingerprint(-7), true, 2, Duration::Millis(9)}}),
      LoadDigest{{SharedLoad{SampleReport(), Duration::Millis(5)}}},
      OnceMessage(OnceClaimRequest{OnceClaimId("c"), IdempotencyKey("k"),
                                   Fingerprint(-2), Duration::Millis(3),
                                   Revision(4)}),
      OnceMessage(OnceFinishAck{OnceClaimId("c")}),
      SampleLimits(),
      presence,
  };
  for (const PermitVerdict& verdict : std::vector<PermitVerdict>{
           PermitGranted{EndpointId("e")}, PermitWait{}, PermitBlocked{}}) {
    messages.emplace_back(GuardMessage(PermitReply{AttemptId("a"), verdict}));
  }
  for (const OnceVerdict& verdict : std::vector<OnceVerdict>{
           OnceGranted{}, OnceReplayed{SampleAnswer()}, OnceAnswerEvicted{},
           OnceEarlierUnknown{}, OnceStillRunning{}, OnceMismatch{},
           OnceUndecided{}, OnceRedirect{NodeId("o")}}) {
    messages.emplace_back(
        OnceMessage(OnceClaimReply{OnceClaimId("c"), verdict, Revision(1)}));
  }
  for (const OnceOutcome& outcome :
       std::vector<OnceOutcome>{OnceNotRun{}, OnceAnswered{SampleAnswer()},
                                OnceAnsweredTooLarge{}, OnceMayHaveRun{}}) {
    messages.emplace_back(OnceMessage(
        OnceFinish{OnceClaimId("c"), IdempotencyKey("k"), outcome}));
  }
  return messages;
}

PeerEnvelope EnvelopeWith(std::vector<PeerMessage> messages) {
  return {NodeId("s"),
          Incarnation(1),
          NodeId("r"),
          {Time::FromMillis(2), 3},
          std::move(messages)};
}

// Encodes the decoded messages again, so that a field that the decoder loses
// shows as a difference. The kinds of the messages are compared as well.
TEST(PeerCodecTest, MessagesRoundTrip) {
  const PeerEnvelope sent = EnvelopeWith(SampleMessages());
  const std::string bytes = EncodePeerFrame(sent).SerializeAsString();
  const auto received = ParsePeerFrame(bytes);
  ASSERT_TRUE(IsOk(received)) << ErrorOf(received).field;
  EXPECT_EQ(ValueOf(received).sender, sent.sender);
  EXPECT_EQ(ValueOf(received).time, sent.time);
  ASSERT_EQ(ValueOf(received).messages.size(), sent.messages.size());
  for (std::size_t i = 0; i < sent.messages.size(); ++i) {
    EXPECT_EQ(ValueOf(received).messages[i].index(), sent.messages[i].index());
  }
  EXPECT_EQ(EncodePeerFrame(ValueOf(received)).SerializeAsString(), bytes);
}

// Guards against a field that both the encoder and the decoder leave out.
TEST(PeerCodecTest, FieldsRoundTrip) {
  const auto received = ParsePeerFrame(
      EncodePeerFrame(
          EnvelopeWith(
              {MembershipMessage(UrgentRumors{{}, SampleRumors()}),
               ConfigMessage(ConfigPush{{}, {}, {SampleEntry()}}),
               SampleLimits(),
               OnceMessage(OnceClaimReply{
                   OnceClaimId("c"), OnceReplayed{SampleAnswer()}, {}})}))
          .SerializeAsString());
  ASSERT_TRUE(IsOk(received));
  const auto& messages = ValueOf(received).messages;
  const auto& rumors =
      std::get<UrgentRumors>(std::get<MembershipMessage>(messages[0])).rumors;
  EXPECT_EQ(std::get<MemberRumor>(rumors[0]).record, AliveRumor().record);
  for (const int i : {2, 3}) {
    EXPECT_EQ(std::get<DeltaRumor>(rumors[i]).delta,
              std::get<DeltaRumor>(SampleRumors()[i]).delta);
  }
  EXPECT_EQ(
      std::get<ConfigPush>(std::get<ConfigMessage>(messages[1])).entries[0],
      SampleEntry());
  const auto& limits = std::get<LimitBatch>(messages[2]);
  EXPECT_EQ(limits.reports[0].echo, SampleLimits().reports[0].echo);
  EXPECT_EQ(limits.reports[0].demands[0].demand,
            SampleLimits().reports[0].demands[0].demand);
  // A third must stay exactly a third: if it were rounded up, grants would
  // exceed the limit.
  EXPECT_EQ(limits.grants[0].grants[0].amount,
            SampleLimits().grants[0].grants[0].amount);
  const auto& reply =
      std::get<OnceClaimReply>(std::get<OnceMessage>(messages[3]));
  EXPECT_EQ(std::get<OnceReplayed>(reply.verdict).answer, SampleAnswer());
}

PeerCodecErrorKind FaultAfter(void (*change)(wire::PeerFrame&)) {
  wire::PeerFrame frame = EncodePeerFrame(EnvelopeWith({}));
  change(frame);
  const auto decoded = DecodePeerFrame(frame);
  EXPECT_FALSE(IsOk(decoded));
  return IsOk(decoded) ? PeerCodecErrorKind::kSyntax : ErrorOf(decoded).kind;
}

TEST(PeerCodecTest, ReportsTypedFaults) {
  using Frame = wire::PeerFrame;
  EXPECT_EQ(FaultAfter([](Frame& f) { f.clear_sender(); }),
            PeerCodecErrorKind::kMissing);
  EXPECT_EQ(FaultAfter([](Frame& f) { f.set_incarnation(-1); }),
            PeerCodecErrorKind::kOutOfRange);
  EXPECT_EQ(FaultAfter([](Frame& f) {
              f.add_bodies()->mutable_once_claim_reply()->set_claim("c");
            }),
            PeerCodecErrorKind::kMissing);
  EXPECT_EQ(FaultAfter([](Frame& f) {
              f.add_bodies()->mutable_config_pull()->set_buckets("\x40");
            }),
            PeerCodecErrorKind::kOutOfRange);
  EXPECT_EQ(FaultAfter([](Frame& f) {
              f.add_bodies()->mutable_limit_batch()->add_reports();
            }),
            PeerCodecErrorKind::kMissing);
  EXPECT_EQ(FaultAfter([](Frame& f) {
              auto* entry =
                  f.add_bodies()->mutable_presence_report()->add_entries();
              entry->set_endpoint("e");
            }),
            PeerCodecErrorKind::kUnknownName);
  EXPECT_EQ(FaultAfter([](Frame& f) {
              f.set_sender(std::string(kMaxPeerFrameBytes, 's'));
            }),
            PeerCodecErrorKind::kTooLarge);
  EXPECT_EQ(ErrorOf(ParsePeerFrame("\xff")).kind, PeerCodecErrorKind::kSyntax);
}

TEST(PeerCodecTest, SkipsBodiesOfUnknownKind) {
  wire::PeerFrame frame = EncodePeerFrame(EnvelopeWith({SampleLimits()}));
  frame.add_bodies();
  const auto decoded = DecodePeerFrame(frame);
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).messages.size(), 1U);
  EXPECT_EQ(ValueOf(decoded).unknown_messages, 1U);
}

// Truncated or corrupted bytes give a result or a typed error.
RC_GTEST_PROP(PeerCodecTest, CorruptedBytesGiveResultOrTypedError, ()) {
  std::string bytes =
      EncodePeerFrame(EnvelopeWith(SampleMessages())).SerializeAsString();
  const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[position] = *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<std::size_t>(position, bytes.size()) + 1);
  const auto decoded = ParsePeerFrame(bytes);
  // RC_ASSERT evaluates both sides of `||`.
  const bool typed = IsOk(decoded) ||
                     PeerCodecErrorKindName(ErrorOf(decoded).kind) != "unknown";
  RC_ASSERT(typed);
}

}  // namespace
}  // namespace gcw
