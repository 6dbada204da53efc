#include <atomic>
#include <future>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "programs/gcw_load/answer_verdict.h"
#include "programs/gcw_load/error_answer.h"
#include "programs/gcw_load/stream_checker.h"
#include "programs/gcwctl/operator_client.h"
#include "tests/support/process_fleet.h"

namespace gcw {
namespace {

namespace json = boost::json;

constexpr const char* kCallerKey = "whole-path-caller-key";
constexpr const char* kModelPath = "/v1/chat/completions";
constexpr const char* kDomain = "lj-1-f1";
constexpr int kStatusOk = 200;

// The response to a call, possibly incomplete, and the failure that ended it.
struct Received {
  HttpResponse answer{0, {}, {}};
  std::optional<HttpFailure> failure;
};

// Sends the request and collects the response. `on_body` is called after each
// chunk.
Received Exchange(
    const Address& address,
    HttpRequest request,
    const std::function<void()>& on_body = [] {}) {
  HttpCallOptions options;
  options.connect_timeout = options.progress_timeout = Duration::Seconds(30);
  Received received;
  boost::asio::io_context context;
  HttpClient client(context);
  HttpCallHandlers handlers;
  handlers.on_head = [&](const HttpResponse& head) { received.answer = head; };
  handlers.on_body = [&](std::string_view chunk) {
    received.answer.body += chunk;
    on_body();
  };
  handlers.on_end = [&] { context.stop(); };
  handlers.on_failure = [&](HttpFailure failure) {
    received.failure = failure;
    context.stop();
  };
  client.Send(address, std::move(request), options, std::move(handlers));
  context.run();
  return received;
}

HttpRequest CallerRequest(const std::string& method,
                          const std::string& target,
                          const std::string& body,
                          const std::string& key = kCallerKey) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.headers = {{"Authorization", "Bearer " + key}};
  request.body = body;
  return request;
}

ChatRequest Chat(const std::string& prompt, bool stream, int tokens = 16) {
  ChatRequest chat;
  chat.model = ModelId("notes");
  chat.messages = {{"user", prompt}};
  chat.max_tokens = TokenCount(tokens);
  chat.stream = stream;
  return chat;
}

enum class Outcome {
  kComplete,
  // The answer reports an error, by its status or in the stream.
  kErrorReported,
  // The answer ended without an error.
  kCut,
  // The answer looked complete and was not.
  kWrong,
};

Outcome ClassifyVerdict(const AnswerVerdict& verdict, const std::string& body) {
  if (std::holds_alternative<CompleteVerdict>(verdict)) {
    return Outcome::kComplete;
  }
  if (std::holds_alternative<ViolationVerdict>(verdict)) {
    return Outcome::kWrong;
  }
  const bool error_reported =
      body.find("data: {\"error\"") != std::string::npos;
  return error_reported ? Outcome::kErrorReported : Outcome::kCut;
}

Outcome ClassifyAnswer(const ChatRequest& chat, const Received& received) {
  const HttpResponse& answer = received.answer;
  const ExpectedAnswer expected{
      ReferenceAnswer(BuildPrompt(chat), chat.max_tokens), AttemptId()};
  if (answer.status == kStatusOk && chat.stream) {
    StreamChecker checker(expected);
    checker.OnBytes(answer.body);
    return ClassifyVerdict(
        received.failure ? checker.OnFailure("cut") : checker.OnEnd(),
        answer.body);
  }
  if (received.failure) {
    return Outcome::kCut;
  }
  if (answer.status == kStatusOk) {
    return ClassifyVerdict(CheckWholeAnswer(answer.body, expected),
                           answer.body);
  }
  return ReadErrorAnswer(answer.body) ? Outcome::kErrorReported : Outcome::kCut;
}

void ExpectCompleteOrError(Outcome outcome) {
  EXPECT_TRUE(outcome == Outcome::kComplete ||
              outcome == Outcome::kErrorReported)
      << static_cast<int>(outcome);
}

// Fixture with one fabric domain of three engines, which serve one group of
// two, one plain service, and the nodes that a test starts.
class WholePathTest : public testing::Test {
 protected:
  using Node = ProcessFleet::NodeAddresses;

  void SetUp() override {
    store_ = fleet_.StartStandin("store", {"store"});
    weights_ = fleet_.StartStandin("weights", {"weights"});
    VmListSnapshot list;
    for (const std::string vm : {"v1", "v2", "v3"}) {
      list.vms.push_back(StartEngine(vm));
    }
    reservations_ = fleet_.StartStandin("desk", {"service", "--vm", "desk"});
    VmEntry desk;
    desk.id = VmId("desk");
    desk.purpose = VmPurpose::kPlainService;
    desk.zone = ZoneId("lj-1");
    desk.address = reservations_;
    desk.service = ServiceId("reservations");
    list.vms.push_back(desk);
    fleet_.folder().Write("vms.json", EncodeVmList(list));
    vm_list_ = fleet_.StartStandin(
        "vmlist",
        {"vmlist", "--vms", fleet_.folder().File("vms.json").string()});
  }

  VmEntry StartEngine(const std::string& vm) {
    VmEntry entry;
    entry.id = VmId(vm);
    entry.domain = FabricDomainId(kDomain);
    entry.zone = ZoneId("lj-1");
    entry.accelerators = 1;
    entry.address = fleet_.StartStandin(
        vm, {"engine", "--vm", vm, "--weights", weights_.value(),
             "--shard-bytes", "20000000"});
    return entry;
  }

  Node StartNode(const std::string& id) {
    return fleet_.StartNode(
        id,
        "zone = \"lj-1\"\nregion = \"lj\"\n"
        "[store]\naddress = \"" +
            store_.value() +
            "\"\n"
            "[vm_list]\naddress = \"" +
            vm_list_.value() +
            "\"\n"
            "interval_ms = 500\n"
            "[weights]\naddress = \"" +
            weights_.value() +
            "\"\n"
            "[lease]\ntime_to_live_ms = 5000\nrenew_interval_ms = 700\n"
            "margin_ms = 500\n"
            "[orders]\ntakeover_wait_ms = 5000\n"
            "[keeper]\nlist_lag_ms = 2000\n"
            "[callers]\nmodel_progress_timeout_ms = 2000\n"
            "[entries]\nkeep_ms = 500\nspread_ms = 500\n"
            "[log]\nevents = true\n");
  }

  // Calls the operator API. The status is 0 if the call failed.
  static OperatorAnswer CallOperatorApi(const Node& node,
                                        const std::string& method,
                                        const std::string& target,
                                        const std::string& body = "") {
    OperatorClient client(node.operators,
                          Secret(ProcessFleet::kOperatorCredential),
                          Duration::Seconds(20));
    auto answer = client.Call(method, target, body);
    return IsOk(answer) ? std::move(ValueOf(answer)) : OperatorAnswer{};
  }

  static Contract CallerContract() {
    Contract contract;
    contract.id = ContractId("team");
    contract.customer = "A team";
    contract.tier = Tier::kPaid;
    contract.models = {ModelId("notes")};
    contract.services = {ServiceId("reservations")};
    contract.requests_per_second = 1000;
    contract.tokens_per_second = 1e6;
    contract.concurrency = 100;
    contract.keys = {ComputeKeyDigest(kCallerKey)};
    return contract;
  }

  static bool PutModel(const Node& node) {
    DesiredModel model;
    model.model = ModelId("notes");
    model.vms_per_group = 2;
    model.targets[ZoneId("lj-1")] = {1, 1};
    return CallOperatorApi(node, "PUT",
                           "/v1/models/notes?expected=0&change=model",
                           EncodeDesiredModel(model))
               .status == kStatusOk;
  }

  static bool PutContract(const Node& node) {
    return CallOperatorApi(node, "PUT",
                           "/v1/contracts/team?expected=0&change=contract",
                           EncodeContract(CallerContract()))
               .status == kStatusOk;
  }

  // Writes model and contract, and waits until they are in force on this node
  // and it answers requests.
  void WaitUntilServing(const Node& node) {
    ASSERT_TRUE(fleet_.WaitUntil([&] { return PutModel(node); }));
    ASSERT_TRUE(fleet_.WaitUntil([&] { return PutContract(node); }));
    ASSERT_TRUE(AnswersEventually(node));
  }

  static Outcome SendChat(const Node& node, const ChatRequest& chat) {
    return ClassifyAnswer(
        chat, Exchange(node.callers, CallerRequest("POST", kModelPath,
                                                   EncodeChatRequest(chat))));
  }

  // Sends streamed and non-streamed requests until one of each is answered.
  // Every earlier answer must report an error.
  bool AnswersEventually(const Node& node) {
    return fleet_.WaitUntil([&] {
      const Outcome streamed = SendNextChat(node, true);
      const Outcome whole = SendNextChat(node, false);
      return streamed == Outcome::kComplete && whole == Outcome::kComplete;
    });
  }

  Outcome SendNextChat(const Node& node, bool stream) {
    const ChatRequest chat =
        Chat("question " + std::to_string(++questions_), stream);
    const Outcome outcome = SendChat(node, chat);
    ExpectCompleteOrError(outcome);
    return outcome;
  }

  // Returns the group's record on this node, empty if there is none.
  static json::object Group(const Node& node) {
    const json::object page = CallOperatorApi(node, "GET", "/v1/groups").body;
    const json::value* groups = page.if_contains("groups");
    if (groups == nullptr || groups->as_array().empty()) {
      return {};
    }
    return groups->as_array().front().as_object();
  }

  static std::string Member(const Node& node, std::size_t rank) {
    const json::object group = Group(node);
    return std::string(group.at("members").as_array().at(rank).as_string());
  }

  static bool HasMember(const Node& node, const std::string& vm) {
    const json::object group = Group(node);
    const json::value* members = group.if_contains("members");
    return members != nullptr &&
           json::serialize(*members).find('"' + vm + '"') != std::string::npos;
  }

  static bool HoldsRoles(const Node& node) {
    const json::object page = CallOperatorApi(node, "GET", "/v1/status").body;
    const json::value* roles = page.if_contains("roles");
    return roles != nullptr && !roles->as_array().empty();
  }

  static std::int64_t ContractRevision(const Node& node) {
    const json::object page =
        CallOperatorApi(node, "GET", "/v1/contracts/team").body;
    const json::value* revision = page.if_contains("revision");
    return revision == nullptr ? 0 : revision->as_int64();
  }

  // Lowers the contract's concurrency. Every call uses the same change id.
  static int PutSecondContract(const Node& node, std::int64_t expected) {
    Contract contract = CallerContract();
    contract.concurrency = 50;
    return CallOperatorApi(node, "PUT",
                           "/v1/contracts/team?change=second&expected=" +
                               std::to_string(expected),
                           EncodeContract(contract))
        .status;
  }

  // Counts in the node's timeline how often the group was closed. Fails if a
  // request was sent to it while it was closed.
  static int CountClosings(const Node& node, const std::string& group) {
    const json::object page =
        CallOperatorApi(node, "GET", "/v1/timeline?limit=5000").body;
    int closings = 0;
    bool is_open = false;
    for (const json::value& event : page.at("events").as_array()) {
      const std::string kind(event.at("event").as_string());
      if (event.at("subject").as_string() == group) {
        is_open =
            kind == "group_serving" || (is_open && kind != "group_closed");
        closings += kind == "group_closed" ? 1 : 0;
      }
      if (kind == "request_dispatched" || kind == "request_retried") {
        EXPECT_TRUE(is_open ||
                    event.at("fields").at("endpoint").as_string() != group)
            << json::serialize(event);
      }
    }
    return closings;
  }

  // Switches a fault of a stand-in on or off.
  static void SetFault(const Address& standin,
                       const std::string& name,
                       bool value) {
    const std::string body =
        json::serialize(json::object{{"name", name}, {"value", value}});
    const Received received =
        Exchange(standin, CallerRequest("POST", "/faults", body));
    ASSERT_EQ(received.answer.status, kStatusOk);
  }

  ProcessFleet fleet_;
  Address store_;
  Address weights_;
  Address reservations_;
  Address vm_list_;
  int questions_ = 0;
};

// A request whose answer is received on another thread while the test goes on.
class LongAnswer {
 public:
  LongAnswer(const Address& node, const ChatRequest& chat)
      : received_(std::async(std::launch::async, [this, node, chat] {
          return Exchange(
              node, CallerRequest("POST", kModelPath, EncodeChatRequest(chat)),
              [this] { has_begun_ = true; });
        })) {}

  bool has_begun() const { return has_begun_; }
  Received Wait() { return received_.get(); }

 private:
  std::atomic<bool> has_begun_ = false;
  std::future<Received> received_;
};

// A reservation that is sent with one idempotency key until it is answered.
// Refused sends did not run, so the reservation may be sent again.
class Reservation {
 public:
  explicit Reservation(const ProcessFleet& fleet) : fleet_(fleet) {}

  HttpResponse SendUntilAnswered(const Address& node) const {
    Received received;
    EXPECT_TRUE(fleet_.WaitUntil([&] {
      HttpRequest request = CallerRequest(
          "POST", "/services/reservations/seats", R"({"seat":"12A"})");
      request.headers.push_back({"Idempotency-Key", "seat-12A"});
      received = Exchange(node, std::move(request));
      return received.answer.status == kStatusOk;
    })) << received.answer.body;
    return received.answer;
  }

 private:
  const ProcessFleet& fleet_;
};

// Two nodes start on an empty store and get a model and a contract; then
// callers use both nodes. Guards against parts that pass their own tests but
// are not connected, a caller that gets another caller's text, and a
// reservation that runs again on the other node because each node remembers
// only its own keys.
TEST_F(WholePathTest, ServesStreamsWholeAnswersAndReservationsOnce) {
  const Node first = StartNode("n1");
  const Node second = StartNode("n2");
  ASSERT_NO_FATAL_FAILURE(WaitUntilServing(first));
  ASSERT_TRUE(AnswersEventually(second));
  const ChatRequest chat = Chat("hello", false);
  const Received refused = Exchange(
      first.callers, CallerRequest("POST", kModelPath, EncodeChatRequest(chat),
                                   "a-key-of-nobody"));
  EXPECT_EQ(refused.answer.status, 401);
  EXPECT_EQ(ReadErrorAnswer(refused.answer.body)->type, "unknown_key");

  const Reservation reservation(fleet_);
  const HttpResponse one = reservation.SendUntilAnswered(first.callers);
  const HttpResponse two = reservation.SendUntilAnswered(second.callers);
  EXPECT_EQ(one.body, two.body);
  const Received counts =
      Exchange(reservations_, CallerRequest("GET", "/executions", ""));
  EXPECT_EQ(json::parse(counts.answer.body).at("total"), 1)
      << counts.answer.body;
}

// The VM of a group's second member is killed during a long answer. Guards
// against an incomplete group that still gets requests, so that they hang or
// are cut, a broken stream that is closed as if it were complete, and a
// controller that does not replace the lost VM although another is free.
TEST_F(WholePathTest, GroupWithLostVmGetsNoRequestsAndIsRepaired) {
  const Node node = StartNode("n1");
  ASSERT_NO_FATAL_FAILURE(WaitUntilServing(node));
  const std::string lost = Member(node, 1);
  const std::string group(Group(node).at("group").as_string());
  const int closings = CountClosings(node, group);
  const ChatRequest chat = Chat("a long question", true, 100);
  LongAnswer answer(node.callers, chat);
  ASSERT_TRUE(fleet_.WaitUntil([&] { return answer.has_begun(); }));
  fleet_.Signal(lost, SIGKILL);
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    SendNextChat(node, true);
    SendNextChat(node, false);
    return !HasMember(node, lost) && !Group(node).empty();
  }));
  EXPECT_TRUE(AnswersEventually(node));
  ExpectCompleteOrError(ClassifyAnswer(chat, answer.Wait()));
  EXPECT_GT(CountClosings(node, group), closings);
}

// Guards against a settings reload that ends the node: without a handler,
// SIGHUP ends the process.
TEST_F(WholePathTest, SurvivesReload) {
  StartNode("n1");
  fleet_.Signal("n1", SIGHUP);
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    return fleet_.HasEnded("n1") ||
           fleet_.folder().Read("n1.log").find("settings_checked") !=
               std::string::npos;
  }));
  EXPECT_FALSE(fleet_.HasEnded("n1"));
}

// The key-value service answers nothing until the node's lease has expired; an
// operator changes a contract and repeats the change after the outage. Guards
// against serving that depends on the node's lease, and against a change that
// is taken as applied or as lost without an answer of the service, so that a
// refused change comes into force or can never be made.
TEST_F(WholePathTest, ServesDuringStoreOutage) {
  const Node node = StartNode("n1");
  ASSERT_NO_FATAL_FAILURE(WaitUntilServing(node));
  ASSERT_TRUE(fleet_.WaitUntil([&] { return HoldsRoles(node); }));
  SetFault(store_, "outage", true);
  ASSERT_TRUE(fleet_.WaitUntil([&] {
    SendNextChat(node, true);
    return !HoldsRoles(node);
  }));
  EXPECT_TRUE(AnswersEventually(node));
  const std::int64_t revision = ContractRevision(node);
  EXPECT_EQ(PutSecondContract(node, revision), 503);
  EXPECT_EQ(ContractRevision(node), revision);
  EXPECT_TRUE(AnswersEventually(node));

  SetFault(store_, "outage", false);
  EXPECT_TRUE(fleet_.WaitUntil(
      [&] { return PutSecondContract(node, revision) == kStatusOk; }));
  EXPECT_TRUE(
      fleet_.WaitUntil([&] { return ContractRevision(node) > revision; }));
  EXPECT_TRUE(AnswersEventually(node));
}

// The VM of a group's first member is stopped during an answer without closing
// its connections. Guards against an answer that ends or hangs without an
// error: a silent connection is distinguished from a slow one only by a
// progress timeout, after which the caller must get an error if the answer
// cannot be resumed.
TEST_F(WholePathTest, AnswerFromStoppedVmIsResumedOrReportsError) {
  const Node node = StartNode("n1");
  ASSERT_NO_FATAL_FAILURE(WaitUntilServing(node));
  const std::string stopped = Member(node, 0);
  const ChatRequest chat = Chat("a long question", true, 100);
  LongAnswer answer(node.callers, chat);
  ASSERT_TRUE(fleet_.WaitUntil([&] { return answer.has_begun(); }));
  fleet_.Signal(stopped, SIGSTOP);
  ExpectCompleteOrError(ClassifyAnswer(chat, answer.Wait()));
  EXPECT_TRUE(AnswersEventually(node));
}

}  // namespace
}  // namespace gcw
