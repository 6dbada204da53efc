#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/endpoint_proxies.h"
#include "tests/support/gateway_path.h"

namespace gcw {
namespace {

constexpr int kEvents = 60;
constexpr int kEventMillis = 40;
constexpr int kVmsPerDomain = 11;
constexpr std::chrono::milliseconds kPause{1200};
// Callers leave after this time without an event.
constexpr Duration kPatience = Duration::Seconds(2);

std::string ExpectedAnswer() {
  std::string all;
  for (int i = 1; i <= kEvents; ++i) {
    all += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) +
           "\n\n";
  }
  return all;
}

// What the caller of a stream has received so far.
class ReceivedStream : public std::enable_shared_from_this<ReceivedStream> {
 public:
  HttpCallHandlers MakeHandlers() {
    const auto self = shared_from_this();
    HttpCallHandlers handlers;
    handlers.on_head = [self](const HttpResponse& head) {
      const std::scoped_lock lock(self->mutex_);
      self->status_ = head.status;
    };
    handlers.on_body = [self](std::string_view chunk) {
      const std::scoped_lock lock(self->mutex_);
      self->body_ += chunk;
    };
    handlers.on_end = [self] {
      const std::scoped_lock lock(self->mutex_);
      self->outcome_ = "complete";
    };
    handlers.on_failure = [self](const HttpFailure& failure) {
      const std::scoped_lock lock(self->mutex_);
      self->outcome_ = HttpFailureKindName(failure.kind);
    };
    return handlers;
  }

  bool HasEvent(int event) const {
    const std::scoped_lock lock(mutex_);
    return body_.find("id: " + std::to_string(event) + "\n") !=
           std::string::npos;
  }
  bool has_ended() const {
    const std::scoped_lock lock(mutex_);
    return !outcome_.empty();
  }
  bool is_whole() const {
    const std::scoped_lock lock(mutex_);
    return status_ == 200 && outcome_ == "complete" &&
           body_ == ExpectedAnswer();
  }
  std::string Describe() const {
    const std::scoped_lock lock(mutex_);
    const std::size_t last = body_.rfind("id: ");
    return "status " + std::to_string(status_) + ", " + outcome_ + ", " +
           (last == std::string::npos
                ? "no event"
                : "last " + body_.substr(last, body_.find('\n', last) - last));
  }

 private:
  mutable std::mutex mutex_;
  int status_ = 0;
  std::string body_;
  // Empty until the call ends.
  std::string outcome_;
};

// Real gateways in front of endpoints that are processes of their own. A
// stopped process keeps its connections, accepts new ones in the kernel and
// answers nothing.
class GatewaySilenceTest : public GatewayPathTest {
 protected:
  struct Group {
    std::string model;
    // By rank; the first one streams the answers.
    std::map<std::int64_t, std::string> members;
    bool is_open = false;
  };

  GatewaySilenceTest() : GatewayPathTest({"--domains", "0", "--plain", "0"}) {}

  void StartEndpoint(const std::string& vm, const std::string& domain) {
    std::vector<std::string> arguments = {"endpoint",
                                          "--vm",
                                          vm,
                                          "--platform",
                                          store_.value(),
                                          "--events",
                                          std::to_string(kEvents),
                                          "--event-ms",
                                          std::to_string(kEventMillis)};
    if (!domain.empty()) {
      arguments.insert(arguments.end(), {"--domain", domain});
    }
    controls_[vm] = fleet_.StartStandin(vm, arguments);
    endpoints_.push_back(vm);
  }

  // Starts the engines of so many domains and waits until each domain has a
  // group of both models and both gateways serve.
  bool StartEngines(std::size_t domains) {
    for (std::size_t d = 0; d < domains; ++d) {
      for (int v = 0; v < kVmsPerDomain; ++v) {
        StartEndpoint("vm-" + std::to_string(d) + "-" + std::to_string(v),
                      "domain-" + std::to_string(d));
      }
    }
    return fleet_.WaitUntil([&] {
      return FindGroups("large").size() == domains &&
             FindGroups("small").size() == domains;
    }) && ServesBothModels();
  }

  std::map<std::string, Group> ReadGroups() {
    std::map<std::string, Group> groups;
    const auto range =
        boost::json::parse(Get(store_, std::string(kStoreRangePath) +
                                           "?prefix=" + std::string(kVmPrefix))
                               .body);
    for (const auto& item : range.at("items").as_array()) {
      const auto entry =
          boost::json::parse(*DecodeBase64(item.at("value").as_string()));
      const auto* membership = entry.as_object().if_contains("group");
      if (membership == nullptr) {
        continue;
      }
      Group& group =
          groups[std::string(membership->at("name").as_string()) + "/" +
                 std::to_string(membership->at("epoch").as_int64())];
      const std::string vm =
          std::string(item.at("key").as_string()).substr(kVmPrefix.size());
      const std::int64_t rank = membership->at("rank").as_int64();
      group.members[rank] = vm;
      if (rank == 0 && !entry.at("models").as_array().empty()) {
        group.model = entry.at("models").as_array()[0].at("name").as_string();
        group.is_open = membership->at("lifecycle").as_string() == "open";
      }
    }
    return groups;
  }

  // Returns the open groups of the model.
  std::vector<Group> FindGroups(const std::string& model) {
    std::vector<Group> found;
    for (const auto& [name, group] : ReadGroups()) {
      if (group.is_open && group.model == model) {
        found.push_back(group);
      }
    }
    return found;
  }

  static std::vector<std::string> MembersOf(const Group& group) {
    std::vector<std::string> members;
    for (const auto& [rank, vm] : group.members) {
      members.push_back(vm);
    }
    return members;
  }

  std::vector<std::string> DescribeOpenGroups() {
    std::vector<std::string> descriptions;
    for (const auto& [name, group] : ReadGroups()) {
      if (!group.is_open) {
        continue;
      }
      std::string description = group.model + " " + name;
      for (const std::string& vm : MembersOf(group)) {
        description += " " + vm;
      }
      descriptions.push_back(std::move(description));
    }
    return descriptions;
  }

  // Opens `count` streams of the model, in turn at the gateways, and waits
  // until all of them are in their middle. `patience` is how long the callers
  // wait for the next byte.
  bool OpenStreams(const std::string& model,
                   int count,
                   Duration patience = kCallTimeout) {
    for (int i = 0; i < count; ++i) {
      HttpCallOptions options;
      options.deadline = kCallTimeout;
      options.progress_timeout = patience;
      streams_.push_back(std::make_shared<ReceivedStream>());
      client_.Send(entries_[static_cast<std::size_t>(i) % entries_.size()],
                   MakeStreamRequest(model), options,
                   streams_.back()->MakeHandlers());
    }
    return fleet_.WaitUntil([this] {
      return std::all_of(streams_.begin(), streams_.end(),
                         [](const auto& stream) {
                           return stream->HasEvent(4) || stream->has_ended();
                         });
    });
  }

  HttpRequest MakeStreamRequest(const std::string& model) {
    const std::string number = std::to_string(++last_request_);
    return {"POST",
            "/" + model + "/x",
            {{"Host", "models.example"},
             {std::string(kAttemptIdHeader), "q" + number},
             {std::string(kModelHeader), model},
             {std::string(kTokensHeader), "100,120"},
             {std::string(kPatienceHeader), "8000"},
             {std::string(kAuthorizationHeader), "Bearer standin-key"}},
            "body " + number};
  }

  void Pause(const std::vector<std::string>& vms) const {
    for (const std::string& vm : vms) {
      fleet_.Signal(vm, SIGSTOP);
    }
    std::this_thread::sleep_for(kPause);
    for (const std::string& vm : vms) {
      fleet_.Signal(vm, SIGCONT);
    }
  }

  // Counts the gateways' events that end attempts, groups and answers.
  std::string CountEvents() const {
    std::map<std::string, int> counts;
    for (const std::string& gateway : gateways_) {
      std::istringstream log(fleet_.TakeOutput(gateway));
      for (std::string line; std::getline(log, line);) {
        boost::json::error_code error;
        const boost::json::value event = boost::json::parse(line, error);
        if (error || !event.is_object()) {
          continue;
        }
        std::string text(event.at("event").as_string());
        for (const char* field : {"reason", "after", "outcome"}) {
          const auto* value = event.at("fields").as_object().if_contains(field);
          if (value != nullptr && value->is_string()) {
            text += " " + std::string(value->as_string());
          }
        }
        ++counts[text];
      }
    }
    std::string all;
    for (const auto& [text, count] : counts) {
      all += std::to_string(count) + " " + text + "\n";
    }
    return all;
  }

  void ExpectWholeStreams() {
    EXPECT_TRUE(fleet_.WaitUntil([this] {
      return std::all_of(
          streams_.begin(), streams_.end(),
          [](const auto& stream) { return stream->has_ended(); });
    }));
    std::map<std::string, int> broken;
    for (const auto& stream : streams_) {
      if (!stream->is_whole()) {
        ++broken[stream->Describe()];
      }
    }
    for (const auto& [what, count] : broken) {
      ADD_FAILURE() << count << " of " << streams_.size()
                    << " streams: " << what;
    }
  }

  void TearDown() override {
    if (HasFailure()) {
      std::cerr << "== events of all gateways\n" << CountEvents();
    }
  }

  std::vector<std::string> gateways_ = {"gw-1", "gw-2"};
  // Where streams are opened.
  std::vector<Address> entries_ = {first_.callers, second_.callers};
  std::vector<std::string> endpoints_;
  // Addresses at which the endpoints take calls of the test.
  std::map<std::string, Address> controls_;
  std::vector<std::shared_ptr<ReceivedStream>> streams_;
};

// Guards against a stream that is cut because all engines pause for a moment.
TEST_F(GatewaySilenceTest, StreamsOutlastAPauseOfAllEngines) {
  ASSERT_TRUE(StartEngines(2));
  const std::vector<std::string> groups = DescribeOpenGroups();
  ASSERT_TRUE(OpenStreams("large", 24));
  ASSERT_TRUE(OpenStreams("small", 24));
  Pause(endpoints_);
  ExpectWholeStreams();
  EXPECT_EQ(DescribeOpenGroups(), groups);
}

// Guards against a stream that is cut, and a group that is dissolved, because
// the engines of one group pause for a moment.
TEST_F(GatewaySilenceTest, StreamsOutlastAPauseOfOneGroup) {
  ASSERT_TRUE(StartEngines(2));
  const std::vector<std::string> groups = DescribeOpenGroups();
  ASSERT_TRUE(OpenStreams("small", 24));
  Pause(MembersOf(FindGroups("small").front()));
  ExpectWholeStreams();
  EXPECT_EQ(DescribeOpenGroups(), groups);
}

// Guards against a stream that is cut because no other group may take it.
TEST_F(GatewaySilenceTest, StreamsOutlastAPauseOfTheOnlyGroup) {
  ASSERT_TRUE(StartEngines(1));
  const std::vector<std::string> groups = DescribeOpenGroups();
  ASSERT_TRUE(OpenStreams("small", 12));
  Pause(MembersOf(FindGroups("small").front()));
  ExpectWholeStreams();
  EXPECT_EQ(DescribeOpenGroups(), groups);
}

// Guards against a stream that is cut because its engine pauses and the only
// other group refuses it.
TEST_F(GatewaySilenceTest, StreamsOutlastAPauseWhileOtherGroupsRefuse) {
  ASSERT_TRUE(StartEngines(2));
  const std::vector<std::string> groups = DescribeOpenGroups();
  const std::vector<Group> small = FindGroups("small");
  ASSERT_TRUE(OpenStreams("small", 24));
  const auto answer = Call(controls_.at(small[1].members.at(0)),
                           {"POST", "/standin/cooldown?ms=8000", {}, {}});
  ASSERT_TRUE(IsOk(answer));
  Pause(MembersOf(small[0]));
  ExpectWholeStreams();
  EXPECT_EQ(DescribeOpenGroups(), groups);
}

// Guards against a stream that is cut by the second of two pauses, because the
// first one has used up its attempts.
TEST_F(GatewaySilenceTest, StreamsOutlastTwoPauses) {
  ASSERT_TRUE(StartEngines(2));
  const std::vector<std::string> groups = DescribeOpenGroups();
  ASSERT_TRUE(OpenStreams("large", 24));
  Pause(endpoints_);
  std::this_thread::sleep_for(std::chrono::milliseconds(5 * kEventMillis));
  Pause(endpoints_);
  ExpectWholeStreams();
  EXPECT_EQ(DescribeOpenGroups(), groups);
}

// Guards against a stream that two gateways move at once, or cut, because the
// engine to which one passes it on through the other pauses.
TEST_F(GatewaySilenceTest, RelayedStreamsOutlastAPause) {
  ASSERT_TRUE(StartEngines(2));
  EndpointProxies proxies(context_, store_);
  const ProcessFleet::GatewayAddresses third =
      fleet_.StartGateway("gw-3", proxies.store_address());
  gateways_.emplace_back("gw-3");
  const auto third_serves = [&] {
    return SendRequest(third.callers, "small").status == 200;
  };
  ASSERT_TRUE(fleet_.WaitUntil(third_serves));
  // Other gateways hear from all endpoints only while they have callers.
  std::atomic<bool> stop = false;
  std::vector<std::future<void>> callers;
  callers.reserve(2 * entries_.size());
  for (const char* route : {"large", "small"}) {
    for (const Address& node : entries_) {
      callers.push_back(std::async(std::launch::async, [&, route, node] {
        while (!stop) {
          SendRequest(node, route);
        }
      }));
    }
  }
  proxies.Cut();
  const bool is_cut = fleet_.WaitUntil([&] {
    SendRequest(third.callers, "small");
    return Get(third.metrics, "/metrics")
               .body.find("\ngcw_endpoints_unreachable 1\n") !=
           std::string::npos;
  });
  EXPECT_TRUE(is_cut && fleet_.WaitUntil(third_serves));
  entries_ = {third.callers};
  EXPECT_TRUE(OpenStreams("small", 12));
  Pause(endpoints_);
  ExpectWholeStreams();
  stop = true;
}

// Guards against a request that ends without an answer because the only
// process of a plain service pauses for less than the route's time limit.
TEST_F(GatewaySilenceTest, PlainRequestsOutlastAPause) {
  constexpr int kRequests = 4;
  StartEndpoint("desk", "");
  ASSERT_TRUE(fleet_.WaitUntil([this] {
    return SendRequest(first_.callers, "safe").status == 200 &&
           SendRequest(second_.callers, "safe").status == 200;
  }));
  // The gateways keep the connections of these requests.
  SendRequest(first_.callers, "safe");
  SendRequest(second_.callers, "safe");
  fleet_.Signal("desk", SIGSTOP);
  std::vector<std::future<int>> answers;
  answers.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    answers.push_back(std::async(std::launch::async, [this, i] {
      return SendRequest(i % 2 == 0 ? first_.callers : second_.callers,
                         i < kRequests / 2 ? "safe" : "once")
          .status;
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  fleet_.Signal("desk", SIGCONT);
  for (std::future<int>& answer : answers) {
    EXPECT_EQ(answer.get(), 200);
  }
}

// Guards against streams that wait for a group that has lost a member for good
// until their callers leave.
TEST_F(GatewaySilenceTest, StreamsLeaveAGroupThatHasLostAMember) {
  ASSERT_TRUE(StartEngines(2));
  const Group group = FindGroups("small").front();
  ASSERT_TRUE(OpenStreams("small", 24, kPatience));
  fleet_.Signal(group.members.rbegin()->second, SIGKILL);
  ExpectWholeStreams();
}

// Guards against streams that wait for a group whose VMs hang for good until
// their callers leave.
TEST_F(GatewaySilenceTest, StreamsLeaveAGroupThatHangs) {
  ASSERT_TRUE(StartEngines(2));
  const Group group = FindGroups("small").front();
  ASSERT_TRUE(OpenStreams("small", 24, kPatience));
  for (const std::string& vm : MembersOf(group)) {
    fleet_.Signal(vm, SIGSTOP);
  }
  ExpectWholeStreams();
}

}  // namespace
}  // namespace gcw
