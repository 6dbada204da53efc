#include <gtest/gtest.h>

#include "programs/gcw_standin/faulty_responder.h"
#include "programs/gcw_standin/http_answers.h"
#include "programs/gcw_standin/standin_service.h"
#include "programs/gcw_standin/standin_vm_list.h"
#include "programs/gcw_standin/standin_weight_store.h"

namespace gcw {
namespace {

Time At(std::int64_t millis) {
  return Time::FromMillis(millis);
}

TEST(StandinVmListTest, ReadersSeeStaleList) {
  StandinVmList list(At(0), {});
  VmEntry vm;
  vm.id = VmId("vm");
  list.Replace(At(1000), {vm});
  EXPECT_TRUE(list.Read(At(1400), Duration::Millis(500)).vms.empty());
  const VmListSnapshot late = list.Read(At(1500), Duration::Millis(500));
  EXPECT_EQ(late.vms.size(), 1U);
  EXPECT_EQ(late.as_of, At(1000));
}

TEST(StandinWeightsTest, FetchesAreQueued) {
  StandinWeightStore weights(1000);
  EXPECT_EQ(weights.Enqueue(At(0), 500), At(500));
  EXPECT_EQ(weights.Enqueue(At(100), 500), At(1000));
  EXPECT_EQ(weights.Status(At(400)).queue_bytes, 600);
  EXPECT_EQ(weights.Enqueue(At(5000), 1000), At(6000));
}

TEST(StandinServiceTest, CountsEachExecution) {
  StandinService service({.endpoint = EndpointId("shelf")});
  const ServiceCall call{"POST", "/reservations", "key", "puzzle"};
  const std::string first = service.BeginCall(call);
  EXPECT_NE(service.BeginCall(call), first);
  EXPECT_EQ(service.executions().CountByName("key"), 2);
  EXPECT_EQ(service.CurrentLoadReport(At(0)).running_requests, 2);
  service.EndCall();
  EXPECT_EQ(service.CurrentLoadReport(At(0)).running_requests, 1);
}

TEST(FaultsTest, AreSetByNameAndType) {
  const auto slow = ApplyFault(Faults{}, R"({"name":"slow_ms","value":20})");
  ASSERT_TRUE(IsOk(slow));
  EXPECT_EQ(ValueOf(slow).request_delay, Duration::Millis(20));
  const auto wrong = ApplyFault(Faults{}, R"({"name":"silent","value":1})");
  ASSERT_FALSE(IsOk(wrong));
  EXPECT_EQ(ErrorOf(wrong), (CodecError{CodecErrorKind::kWrongType, "value"}));
  EXPECT_FALSE(IsOk(ApplyFault(Faults{}, R"({"name":"other","value":1})")));
}

TEST(HttpAnswersTest, ReadsQueryNumbers) {
  EXPECT_EQ(QueryNumber("/cache_events?after=12", "after"), 12);
  EXPECT_EQ(QueryNumber("/p?x=1&after=3&y=", "after"), 3);
  EXPECT_EQ(QueryNumber("/p?after=3x", "after"), std::nullopt);
  EXPECT_EQ(QueryNumber("/p?after", "after"), std::nullopt);
  EXPECT_EQ(QueryNumber("/p", "after"), std::nullopt);
}

// Records what reaches the caller.
class RecordingResponder : public HttpResponder {
 public:
  void Respond(HttpResponse) override { sent += "respond "; }
  void StartStream(int, std::vector<HttpHeader>) override { sent += "start "; }
  void Write(std::string chunk) override { sent += chunk + ' '; }
  void Finish() override { sent += "finish "; }
  void Abort() override { sent += "abort "; }
  std::size_t unsent_bytes() const override { return 0; }
  void OnCallerGone(std::function<void()> hook) override {
    caller_gone = std::move(hook);
  }

  std::string sent;
  std::function<void()> caller_gone;
};

// Guards against a stream that looks complete although its middle is missing:
// if the `silent` fault is switched off during a stream that it has silenced,
// the rest of the stream must not be passed on.
TEST(FaultyResponderTest, SilencedExchangeStaysSilent) {
  Faults faults;
  FaultyResponder::SilencedResponders silenced;
  const auto inner = std::make_shared<RecordingResponder>();
  const auto responder = FaultyResponder::Wrap(inner, faults, silenced, false);
  responder->StartStream(200, {});
  responder->Write("a");
  faults.silent = true;
  responder->Write("b");
  faults.silent = false;
  responder->Write("c");
  responder->Finish();
  EXPECT_EQ(inner->sent, "start a ");
  EXPECT_EQ(silenced.size(), 1U);
  inner->caller_gone();
  EXPECT_TRUE(silenced.empty());
}

TEST(FaultyResponderTest, OnlyOpenExchangesGoSilent) {
  Faults faults;
  FaultyResponder::SilencedResponders silenced;
  const auto open = std::make_shared<RecordingResponder>();
  const auto old = FaultyResponder::Wrap(open, faults, silenced, false);
  ++faults.silenced_epoch;
  const auto fresh = std::make_shared<RecordingResponder>();
  old->Respond({});
  FaultyResponder::Wrap(fresh, faults, silenced, false)->Respond({});
  EXPECT_EQ(open->sent, "");
  EXPECT_EQ(fresh->sent, "respond ");
}

TEST(FaultyResponderTest, LostAnswerClosesConnection) {
  const Faults faults;
  FaultyResponder::SilencedResponders silenced;
  const auto inner = std::make_shared<RecordingResponder>();
  FaultyResponder::Wrap(inner, faults, silenced, true)->Respond({});
  EXPECT_EQ(inner->sent, "abort ");
}

}  // namespace
}  // namespace gcw
