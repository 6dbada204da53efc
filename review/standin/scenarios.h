#ifndef REVIEW_STANDIN_SCENARIOS_H_
#define REVIEW_STANDIN_SCENARIOS_H_

#include <atomic>
#include <deque>

#include "platform.h"

namespace review {

// A process of the plain service. It answers GET and POST with `n=` bytes after
// `ms=` milliseconds and keeps a record of what it ran.
class Replica {
 public:
  Replica(Store& store, std::string id, std::string service, Record& record)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        record_(record),
        server_([this](int fd, Reader& reader, Message& request) {
          return Handle(fd, reader, request);
        }) {
    std::thread([this] {
      for (int sequence = 1; !has_crashed_; ++sequence) {
        if (!store_.is_down()) {
          Register(sequence);
        }
        Sleep(1.2);
      }
      // Its entry goes after three heartbeats of silence.
      Sleep(2.4);
      store_.Remove("servers/" + id_);
    }).detach();
  }

  int Runs(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return runs_[id];
  }
  bool HasSent(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return sent_.count(id) > 0;
  }
  bool has_crashed() const { return has_crashed_; }
  // The replica turns cold while it serves. Its entry says so at the next
  // heartbeat. It crashes under `crash_rate` requests in a second.
  void TurnCold(double seconds, std::size_t crash_rate) {
    const std::lock_guard lock(mutex_);
    cold_until_ = Now() + seconds;
    crash_rate_ = crash_rate;
  }
  double last_heartbeat() const { return last_heartbeat_; }
  // The most requests that arrived within a second since it turned cold.
  std::size_t max_cold_rate() const { return max_cold_rate_; }
  // How often the request that crashes replicas has reached this one.
  int deadly_arrivals() const { return deadly_arrivals_; }

 private:
  void Register(int sequence) {
    double cold = 0;
    {
      const std::lock_guard lock(mutex_);
      cold = std::max(0.0, cold_until_ - Now());
    }
    last_heartbeat_ = Now();
    store_.Put("servers/" + id_,
               boost::json::serialize(boost::json::object{
                   {"backend", service_},
                   {"address", "127.0.0.1:" + std::to_string(server_.port())},
                   {"zone", "zone-a"},
                   {"version", "v1"},
                   {"batch_slots", 6},
                   {"lifecycle", "ready"},
                   {"warmup_left_ms", static_cast<std::int64_t>(cold * 1000)},
                   {"sequence", sequence}}));
  }

  bool Handle(int fd, Reader& reader, Message& request) {
    const std::string& line = request.first_line;
    const Place place(*this);
    if (!reader.ReadBody(request)) {
      return false;
    }
    if (line.find(" /healthz") != std::string::npos) {
      const double cold = std::max(0.0, cold_until_ - Now());
      return WriteAll(
          fd, Response(200,
                       "X-Replica-Id: " + id_ + "\r\nX-Warmup-Ms: " +
                           std::to_string(static_cast<int>(cold * 1000)) +
                           "\r\n",
                       "ok"));
    }
    const std::string expected = request.Header("X-Expect-Replica");
    if (!expected.empty() && expected != id_) {
      return WriteAll(fd,
                      Response(421, "X-Replica-Id: " + id_ + "\r\n", ""));
    }
    const std::string attempt = request.Header("X-Attempt-Id");
    if (attempt.empty()) {
      return WriteAll(fd, Response(200, "Content-Type: application/json\r\n",
                                   "{\"queued\":0,\"active\":0}"));
    }
    {
      const std::lock_guard lock(mutex_);
      ++runs_[attempt];
    }
    if (!BearsColdArrival()) {
      return false;
    }
    record_.Add("replica %s runs %s (%zu bytes)", id_.c_str(), attempt.c_str(),
                request.body.size());
    if (request.body == "deadly") {
      ++deadly_arrivals_;
      Sleep(0.03);
      if (!has_crashed_.exchange(true)) {
        record_.Add("replica %s crashes", id_.c_str());
        server_.End();
      }
      return false;
    }
    Sleep(0.001 * Number(line, "ms=", 20));
    const bool is_sent = WriteAll(
        fd, Response(200,
                     "X-Attempt-Id: " + attempt + "\r\nX-Replica-Signature: " +
                         id_ + "." + attempt + "\r\nX-Replica-Load: 1,0,6\r\n",
                     std::string(
                         static_cast<std::size_t>(Number(line, "n=", 800)),
                         'x')));
    if (is_sent) {
      const std::lock_guard lock(mutex_);
      sent_.insert(attempt);
    }
    return is_sent;
  }

  // Counts a request that arrived while the replica is cold. Returns false if the
  // replica has crashed.
  bool BearsColdArrival() {
    {
      const std::lock_guard lock(mutex_);
      if (Now() >= cold_until_) {
        return true;
      }
      arrivals_.push_back(Now());
      while (arrivals_.front() <= Now() - 1) {
        arrivals_.pop_front();
      }
      max_cold_rate_ = std::max<std::size_t>(max_cold_rate_, arrivals_.size());
      if (arrivals_.size() <= crash_rate_) {
        return true;
      }
    }
    if (!has_crashed_.exchange(true)) {
      record_.Add("replica %s crashes: cold, over %zu requests in a second",
                  id_.c_str(), crash_rate_);
      server_.End();
    }
    return false;
  }

  // One of the places in which requests run; further ones wait unread.
  class Place {
   public:
    explicit Place(Replica& replica) : replica_(replica) {
      std::unique_lock lock(replica_.mutex_);
      replica_.freed_.wait(lock, [this] { return replica_.free_places_ > 0; });
      --replica_.free_places_;
    }
    ~Place() {
      const std::lock_guard lock(replica_.mutex_);
      ++replica_.free_places_;
      replica_.freed_.notify_one();
    }

   private:
    Replica& replica_;
  };

  static double Number(const std::string& text,
                       const std::string& name,
                       double otherwise) {
    const std::size_t found = text.find(name);
    return found == std::string::npos
               ? otherwise
               : std::strtod(text.c_str() + found + name.size(), nullptr);
  }

  Store& store_;
  const std::string id_;
  const std::string service_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable freed_;
  int free_places_ = 6;
  std::map<std::string, int> runs_;
  std::set<std::string> sent_;
  std::atomic<bool> has_crashed_ = false;
  std::atomic<int> deadly_arrivals_ = 0;
  std::atomic<double> cold_until_ = 0;
  std::size_t crash_rate_ = 0;
  std::deque<double> arrivals_;
  std::atomic<std::size_t> max_cold_rate_ = 0;
  std::atomic<double> last_heartbeat_ = 0;
  // Last: its threads use everything above.
  Server server_;
};

struct World {
  World(const std::string& program,
        const std::string& record_file,
        const std::string& folder,
        bool trouble,
        int node_count,
        int replica_count)
      : has_trouble(trouble), record(record_file), replicas_(replica_count) {
    for (int i = 1; i <= node_count; ++i) {
      nodes.push_back(std::make_unique<Node>(
          program, folder, "edge-" + std::to_string(i), store));
    }
  }

  static boost::json::object Route(const std::string& name,
                                   const std::string& type) {
    return {{"name", "r-" + name},
            {"hostname", "desk.example"},
            {"prefix", "/" + name + "/"},
            {"route_type", type},
            {"timeout_ms", 8000},
            {"target_latency_ms", 2000},
            {"priority", 1},
            {"backend", "desk"},
            {"max_attempts", 2},
            {"public", false}};
  }

  void WriteManifest(int version) {
    boost::json::object service{{"name", "desk"},
                                {"health_path", "/healthz"},
                                {"max_connections", 400}};
    if (warmup_per_second > 0) {
      service["warmup_s"] = 3;
      service["warmup_per_s"] = warmup_per_second;
    }
    store.Put(
        "op/config",
        boost::json::serialize(boost::json::object{
            {"version", version},
            {"routes", boost::json::array{Route("read", "safe"),
                                          Route("book", "unsafe")}},
            {"backends", boost::json::array{service}},
            {"limits", boost::json::object{{"max_header_bytes", 16384},
                                           {"max_body_bytes", 4194304},
                                           {"header_timeout_ms", 5000},
                                           {"idle_timeout_ms", 60000}}},
            {"tenants", boost::json::array{boost::json::object{
                            {"name", "team"},
                            {"api_keys", boost::json::array{"key-1"}}}}}}));
  }

  // Starts everything; false if the system does not serve within 20 s.
  bool Start() {
    WriteManifest(1);
    for (int i = 0; i < replicas_; ++i) {
      replicas.push_back(std::make_unique<Replica>(
          store, "i-" + std::to_string(i), "desk", record));
    }
    std::vector<int> seeds;
    for (const auto& node : nodes) {
      seeds.push_back(node->peers);
    }
    for (const auto& node : nodes) {
      node->Start(seeds, bounds);
    }
    for (const auto& node : nodes) {
      while (!node->IsReady() || !ServesProbe(*node)) {
        if (Now() > 20) {
          return false;
        }
        Sleep(0.1);
      }
    }
    // The machines are in touch from `contact_ms` on.
    Sleep(4);
    return true;
  }

  bool ServesProbe(const Node& node) {
    return Call(node.callers, "GET", "/read/a",
                "X-Attempt-Id: probe\r\nAuthorization: Bearer key-1\r\n",
                "") == 200;
  }

  int Runs(const std::string& id) {
    int runs = 0;
    for (const auto& replica : replicas) {
      runs += replica->Runs(id);
    }
    return runs;
  }
  bool HasSent(const std::string& id) {
    return std::any_of(replicas.begin(), replicas.end(),
                       [&](const auto& replica) { return replica->HasSent(id); });
  }

  void End() {
    for (const auto& node : nodes) {
      node->Kill();
    }
  }

  // Of the plain service; 0 if its replicas are never cold.
  int warmup_per_second = 0;
  std::map<std::string, std::string> bounds;
  const bool has_trouble;
  Record record;
  Store store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Replica>> replicas;

 private:
  int replicas_;
};

inline std::string Head(const std::string& line,
                        const std::string& id,
                        std::size_t body) {
  return line + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer "
         "key-1\r\nContent-Length: " +
         std::to_string(body) + "\r\n\r\n";
}

// A SIGTERM while callers on slow links receive answers that have already
// arrived at the node whole.
inline int RunStop(World& world) {
  constexpr int kCallers = 4;
  constexpr std::size_t kAnswer = 6000000;
  constexpr double kBytesPerSecond = 1600000;
  constexpr int kWorkMs = 3200;
  if (!world.Start()) {
    return 2;
  }
  Node& node = *world.nodes[0];
  std::atomic<int> lost = 0;
  std::atomic<int> whole = 0;
  std::atomic<int> other = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const std::string id = "a-" + std::to_string(i);
      const int fd = Connect(node.callers, 32768, 1448);
      Reader reader(fd);
      const double sent = Now();
      const bool is_sent =
          WriteAll(fd, Head((i % 2 == 0 ? "GET /read/a?n=" : "POST /book/a?n=") +
                                std::to_string(kAnswer) + "&ms=" +
                                std::to_string(kWorkMs),
                            id, 0));
      world.record.Add("caller %s sent its request to %s", id.c_str(),
                       node.name().c_str());
      Message answer;
      std::size_t received = 0;
      bool has_ended = !is_sent || !reader.ReadHead(answer);
      const bool is_success =
          answer.first_line.find(" 200 ") != std::string::npos;
      received = reader.buffer().size();
      const double began = Now();
      while (!has_ended && received < kAnswer && Now() - sent < 8) {
        char bytes[16384];
        const ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
        has_ended = size <= 0;
        received += size > 0 ? static_cast<std::size_t>(size) : 0;
        const double ahead =
            began + static_cast<double>(received) / kBytesPerSecond - Now();
        if (ahead > 0) {
          Sleep(ahead);
        }
      }
      close(fd);
      const double took = Now() - sent;
      const int runs = world.Runs(id);
      world.record.Add(
          "caller %s: '%s', %zu of %zu bytes after %.2f s, ran %d times, the "
          "replica had sent its whole answer: %d",
          id.c_str(), answer.first_line.c_str(), received, kAnswer, took, runs,
          world.HasSent(id));
      if (is_success && received == kAnswer) {
        ++whole;
      } else if (has_ended && took < 8 && runs > 0 && world.HasSent(id)) {
        ++lost;
      } else {
        ++other;
      }
    });
  }
  Sleep(0.5);
  const double stopped = Now();
  if (world.has_trouble) {
    node.Signal(SIGTERM);
    world.record.Add("SIGTERM to %s", node.name().c_str());
  }
  while (world.has_trouble && !node.HasEnded() && Now() - stopped < 8) {
    Sleep(0.02);
  }
  if (world.has_trouble) {
    world.record.Add("%s %s %.2f s after SIGTERM", node.name().c_str(),
                     node.HasEnded() ? "ended by itself" : "still runs",
                     Now() - stopped);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  world.record.Add("whole %d, lost %d, other %d", whole.load(), lost.load(),
                   other.load());
  if (lost > 0) {
    return 1;
  }
  return whole == kCallers ? 0 : 2;
}

// The platform: ends a process that exceeds its memory (DEPLOY.md), and keeps
// the highest value of each.
class MemoryWatch {
 public:
  MemoryWatch(World& world, double limit_mb)
      : thread_([this, &world, limit_mb] {
          while (!is_done_) {
            for (const auto& node : world.nodes) {
              const double memory = node->MemoryMb();
              double& highest = highest_[node->name()];
              highest = std::max(highest, memory);
              if (memory > limit_mb) {
                world.record.Add("%s has %.0f MB, over its %.0f MB: killed",
                                 node->name().c_str(), memory, limit_mb);
                node->Kill();
                ++kills_;
              }
            }
            Sleep(0.005);
          }
        }) {}
  void Stop() {
    is_done_ = true;
    thread_.join();
  }
  int kills() const { return kills_; }
  double highest(const std::string& name) { return highest_[name]; }

 private:
  std::atomic<bool> is_done_ = false;
  std::atomic<int> kills_ = 0;
  std::map<std::string, double> highest_;
  std::thread thread_;
};

// Callers post bodies of the size that the manifest allows while one of two
// machines is lost.
inline int RunUploads(World& world) {
  constexpr int kCallers = 32;
  constexpr std::size_t kBody = 4000000;
  constexpr double kMemoryMb = 260;
  if (!world.Start()) {
    return 2;
  }
  MemoryWatch memory(world, kMemoryMb);
  std::vector<Node*> up;
  for (const auto& node : world.nodes) {
    up.push_back(node.get());
  }
  if (world.has_trouble) {
    up.back()->Kill();
    world.record.Add("%s is lost", up.back()->name().c_str());
    up.pop_back();
    // Callers look up the addresses again.
    Sleep(6);
  }
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::atomic<int> other = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      Node& node = *up[static_cast<std::size_t>(i) % up.size()];
      const std::string id = "u-" + std::to_string(i);
      const int fd = Connect(node.callers);
      Reader reader(fd);
      Message answer;
      // The channel is a kept one.
      bool is_open = WriteAll(fd, Head("GET /read/a?ms=5", "k" + id, 0)) &&
                     reader.Read(answer);
      const double sent = Now();
      is_open = is_open &&
                WriteAll(fd, Head("POST /book/a?ms=300", id, kBody) +
                                 std::string(kBody, 'b'));
      const bool is_answered = is_open && reader.Read(answer);
      close(fd);
      const int runs = world.Runs(id);
      world.record.Add("caller %s at %s: %s after %.2f s, ran %d times",
                       id.c_str(), node.name().c_str(),
                       is_answered ? answer.first_line.c_str()
                                   : "channel closed without an answer",
                       Now() - sent, runs);
      ++(is_answered ? answered : runs > 0 ? lost : other);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  memory.Stop();
  for (const auto& node : world.nodes) {
    world.record.Add("%s: at most %.0f MB", node->name().c_str(),
                     memory.highest(node->name()));
  }
  world.record.Add(
      "answered %d; closed without an answer: %d that ran, %d others; killed "
      "for memory: %d",
      answered.load(), lost.load(), other.load(), memory.kills());
  return lost > 3 ? 1 : 0;
}

// The settings file changes, and later all processes are killed and started with
// the settings in effect.
inline int RunSettings(World& world) {
  constexpr double kRestartDelay = 0.5;
  constexpr double kRecoverSeconds = 12;
  if (!world.Start()) {
    return 2;
  }
  std::map<std::string, std::string> bounds;
  if (world.has_trouble) {
    bounds["grace_s"] = "7.5";
  }
  std::vector<int> seeds;
  for (const auto& node : world.nodes) {
    seeds.push_back(node->peers);
  }
  const auto count_served = [&](const char* when) {
    int served = 0;
    for (int i = 0; i < 40; ++i) {
      const Node& node = *world.nodes[static_cast<std::size_t>(i) % 2];
      served += world.ServesProbe(node) ? 1 : 0;
      Sleep(0.05);
    }
    world.record.Add("%s: %d of 40 requests served", when, served);
    return served;
  };
  const int before = count_served("before");
  world.record.Add("the settings name grace_s %s",
                   world.has_trouble ? "7.5" : "8, as before");
  for (const auto& node : world.nodes) {
    node->Kill();
    world.record.Add("%s is killed", node->name().c_str());
  }
  std::vector<double> ended(world.nodes.size(), Now());
  int starts = 0;
  const double back = Now() + kRestartDelay;
  int after = -1;
  std::thread measure([&] {
    Sleep(back + kRecoverSeconds - Now());
    after = count_served("12 s after the machines are back");
  });
  while (after < 0) {
    for (std::size_t i = 0; i < world.nodes.size(); ++i) {
      Node& node = *world.nodes[i];
      if (!node.HasEnded()) {
        continue;
      }
      if (ended[i] == 0) {
        ended[i] = Now();
        world.record.Add("%s ended by itself, exit status %d",
                         node.name().c_str(), WEXITSTATUS(node.status()));
      }
      if (Now() - ended[i] >= kRestartDelay) {
        node.Start(seeds, bounds);
        ended[i] = 0;
        ++starts;
      }
    }
    Sleep(0.02);
  }
  measure.join();
  world.record.Add("%d starts", starts);
  return before < 10 ? 2 : after < 10 ? 1 : 0;
}

// A request that crashes replicas comes again after all machines were lost in an
// outage of the store.
inline int RunDeadly(World& world) {
  constexpr double kContactSeconds = 3;
  constexpr double kOutageSeconds = 7;
  constexpr int kCopies = 4;
  if (!world.Start()) {
    return 2;
  }
  std::vector<int> seeds;
  for (int i = 0; i < 3; ++i) {
    seeds.push_back(world.nodes[static_cast<std::size_t>(i)]->peers);
  }
  std::atomic<int> sends = 0;
  // Replicas that crash are back after two seconds, under other ids.
  const std::size_t initial = world.replicas.size();
  const auto count_crashed = [&] {
    int crashed = 0;
    for (std::size_t i = 0; i < world.replicas.size(); ++i) {
      crashed += world.replicas[i]->has_crashed() ? 1 : 0;
    }
    return crashed;
  };
  const auto replace = [&] {
    while (static_cast<int>(world.replicas.size()) <
           static_cast<int>(initial) + count_crashed()) {
      world.replicas.push_back(std::make_unique<Replica>(
          world.store, "i-" + std::to_string(world.replicas.size()), "desk",
          world.record));
    }
  };
  const auto send = [&](std::size_t node) {
    const std::string id = "d-" + std::to_string(++sends);
    world.record.Add("request %s sent to %s", id.c_str(),
                     world.nodes[node]->name().c_str());
    const int status =
        Call(world.nodes[node]->callers, "GET", "/read/deadly",
             "X-Attempt-Id: " + id +
                 "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n",
             "deadly");
    world.record.Add("request %s answered %d", id.c_str(), status);
  };
  const double down = Now();
  if (world.has_trouble) {
    world.store.SetDown(true);
    world.record.Add("the store is down (silent)");
    Sleep(0.5);
  }
  // Two arrivals, each with one retry of the node.
  send(0);
  Sleep(0.5);
  send(1);
  Sleep(0.5);
  const int before = count_crashed();
  world.record.Add("%d replicas have crashed", before);
  if (world.has_trouble) {
    for (const auto& node : world.nodes) {
      node->Kill();
    }
    world.record.Add("all processes are killed");
    Sleep(1.1);
    for (const auto& node : world.nodes) {
      node->Start(seeds);
    }
  }
  Sleep(2);
  replace();
  Sleep(down + kOutageSeconds - Now());
  if (world.has_trouble) {
    world.store.SetDown(false);
    world.record.Add("the store is back");
  }
  Sleep(1);
  for (const auto& node : world.nodes) {
    while (!node->IsReady() || !world.ServesProbe(*node)) {
      if (Now() > 60) {
        return 2;
      }
      Sleep(0.1);
    }
  }
  Sleep(kContactSeconds + 4);
  const auto count_arrivals = [&] {
    int arrivals = 0;
    for (const auto& replica : world.replicas) {
      arrivals += replica->deadly_arrivals();
    }
    return arrivals;
  };
  const int third = count_crashed();
  const int arrivals = count_arrivals();
  world.record.Add("all machines are in touch; the request comes again");
  for (int round = 0; round < 3; ++round) {
    std::vector<std::thread> copies;
    for (std::size_t i = 0; i < kCopies; ++i) {
      copies.emplace_back([&, i] { send(i); });
    }
    for (std::thread& copy : copies) {
      copy.join();
    }
    Sleep(4);
    replace();
  }
  const int more = count_arrivals() - arrivals;
  world.record.Add(
      "%d replicas crashed before; it reached replicas %d times more, and %d "
      "more crashed",
      third, more, count_crashed() - third);
  return third < 3 ? 2 : more > 3 ? 1 : 0;
}

// A replica turns cold while it serves.
inline int RunCold(World& world) {
  constexpr int kWarmupPerSecond = 26;
  // warmup_per_s x warmup_overshoot + warmup_slack.
  constexpr std::size_t kBound = 44;
  constexpr double kColdSeconds = 3;
  constexpr int kCallersPerNode = 2;
  constexpr double kInterval = 0.05;
  world.warmup_per_second = kWarmupPerSecond;
  world.bounds = {{"warmup_overshoot", "1.5"}, {"warmup_slack", "5"}};
  if (!world.Start()) {
    return 2;
  }
  // The replicas were ready before traffic, so they are warm.
  Sleep(8);
  std::atomic<bool> is_done = false;
  std::atomic<int> sent = 0;
  std::atomic<int> good = 0;
  std::atomic<int> unknown = 0;
  std::vector<std::thread> callers;
  for (const auto& node : world.nodes) {
    for (int i = 0; i < kCallersPerNode; ++i) {
      callers.emplace_back([&, i] {
        double next = Now() + 0.01 * i;
        while (!is_done) {
          const int number = ++sent;
          const std::string id = "c-" + std::to_string(number);
          const int status =
              Call(node->callers, "POST", "/book/a?ms=20",
                   "X-Attempt-Id: " + id +
                       "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer "
                       "key-1\r\n",
                   "b");
          if (status == 200) {
            ++good;
          } else if (status != 503) {
            ++unknown;
            world.record.Add("request %s, which may not be repeated: %d",
                             id.c_str(), status);
          }
          next += kInterval;
          if (next > Now()) {
            Sleep(next - Now());
          }
        }
      });
    }
  }
  Sleep(5);
  Replica& replica = *world.replicas[0];
  const double heartbeat = replica.last_heartbeat();
  while (replica.last_heartbeat() == heartbeat) {
    Sleep(0.01);
  }
  Sleep(0.1);
  const int unknown_before = unknown;
  if (world.has_trouble) {
    replica.TurnCold(kColdSeconds, 2 * kWarmupPerSecond);
    world.record.Add("replica i-0 turns cold");
  }
  Sleep(kColdSeconds + 2);
  is_done = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  world.record.Add(
      "%d requests, %d good; most at the cold replica in a second: %zu, bound "
      "%zu; crashed: %d; requests without a known outcome: %d",
      sent.load(), good.load(), replica.max_cold_rate(), kBound,
      replica.has_crashed(), unknown - unknown_before);
  return replica.max_cold_rate() > kBound ? 1 : 0;
}

}  // namespace review

#endif  // REVIEW_STANDIN_SCENARIOS_H_
