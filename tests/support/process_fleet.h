#ifndef TESTS_SUPPORT_PROCESS_FLEET_H_
#define TESTS_SUPPORT_PROCESS_FLEET_H_

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <boost/json.hpp>

#include "transport/transport.h"

namespace gcw {

// A new folder below the system's temporary folder, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "gcw-test-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("cannot create a temporary folder");
    }
    path_ = pattern;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::filesystem::path File(const std::string& name) const {
    return path_ / name;
  }
  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(File(name)) << text;
  }
  std::string Read(const std::string& name) const {
    std::ifstream in(File(name));
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  std::filesystem::path path_;
};

// A running program of this project. The destructor kills it by its process id
// and waits for it, even if it is stopped.
class ChildProcess {
 public:
  // Redirects the program's standard error to the file `log`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::filesystem::path& log) {
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
      throw std::runtime_error("cannot create a pipe");
    }
    output_ = pipe_ends[0];
    const int failure = Spawn(program, arguments, log.string(), pipe_ends[1]);
    close(pipe_ends[1]);
    if (failure != 0) {
      close(output_);
      throw std::runtime_error(program + " cannot be started");
    }
  }
  ~ChildProcess() {
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
    close(output_);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Signals the child. Its id is not reused before the destructor has waited
  // for it.
  void Signal(int signal) const { kill(pid_, signal); }

  // Returns true if the child has ended; the destructor still waits for it.
  bool HasEnded() const {
    siginfo_t info{};
    return waitid(P_PID, static_cast<id_t>(pid_), &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == pid_;
  }

  // Returns the largest amount of memory that the child has used so far.
  std::int64_t PeakMemoryKb() const {
    constexpr std::string_view kField = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(kField)) {
        return std::stoll(line.substr(kField.size()));
      }
    }
    return 0;
  }

  std::int64_t OpenDescriptors() const {
    const std::filesystem::directory_iterator descriptors(
        "/proc/" + std::to_string(pid_) + "/fd");
    return std::distance(begin(descriptors), end(descriptors));
  }

  // Reads the object on the first line of standard output, which tells where
  // the program listens. Returns an empty one if no line arrives in time.
  boost::json::object ReadAnnouncement(std::chrono::milliseconds timeout) {
    std::string line;
    char character = 0;
    pollfd descriptor{output_, POLLIN, 0};
    while (poll(&descriptor, 1, static_cast<int>(timeout.count())) > 0 &&
           read(output_, &character, 1) == 1 && character != '\n') {
      line.push_back(character);
    }
    boost::json::error_code error;
    boost::json::value value = boost::json::parse(line, error);
    return error || !value.is_object() ? boost::json::object()
                                       : std::move(value.as_object());
  }

  // Reads what the program has written to standard output. Programs leave out
  // lines for which the pipe has no room.
  void ReadOutput() {
    char bytes[4096];
    pollfd descriptor{output_, POLLIN, 0};
    while (poll(&descriptor, 1, 0) > 0) {
      const ssize_t size = read(output_, bytes, sizeof(bytes));
      if (size <= 0) {
        break;
      }
      unread_.append(bytes, static_cast<std::size_t>(size));
      recent_.append(bytes, static_cast<std::size_t>(size));
    }
    recent_ = EndOf(recent_);
  }

  // Returns what the program has written to standard output since the last
  // call.
  std::string TakeOutput() {
    ReadOutput();
    return std::exchange(unread_, {});
  }

  // Returns the end of what the program has written to standard output, as
  // failed tests print it. It does not hold each line: checks use TakeOutput().
  std::string RecentOutput() {
    ReadOutput();
    return recent_;
  }

  // Returns the part of a long text that failed tests print.
  static std::string EndOf(const std::string& text) {
    return text.substr(text.size() - std::min(text.size(), kMaxTextShown));
  }

 private:
  static constexpr std::size_t kMaxTextShown = 16000;

  int Spawn(const std::string& program,
            const std::vector<std::string>& arguments,
            const std::string& log,
            int output) {
    std::vector<char*> argv{const_cast<char*>(program.c_str())};
    for (const std::string& argument : arguments) {
      argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    const int failure = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                    argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return failure;
  }

  pid_t pid_ = 0;
  int output_ = -1;
  std::string unread_;
  std::string recent_;
};

// Runs stand-ins and nodes as processes on loopback, on ports that the kernel
// chooses. A failed test prints the end of their logs and outputs.
class ProcessFleet {
 public:
  static constexpr const char* kOperatorCredential = "test-operator-credential";

  ProcessFleet() {
    folder_.Write("peer.secret", "test-peer-secret-of-no-use");
    folder_.Write("operator.secret", kOperatorCredential);
  }
  ~ProcessFleet() {
    if (testing::Test::HasFailure()) {
      PrintLogs();
    }
  }
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  const TemporaryFolder& folder() const { return folder_; }

  // Starts `gcw-standin`, whose first argument selects the part that it
  // simulates.
  Address StartStandin(const std::string& name,
                       const std::vector<std::string>& arguments) {
    return AddressIn(Start(name, "gcw-standin", arguments), "address");
  }

  struct NodeAddresses {
    Address callers;
    Address operators;
  };

  // Starts `gcw-node`; `settings` are added to those that every node needs.
  NodeAddresses StartNode(const std::string& id, const std::string& settings) {
    folder_.Write(id + ".toml", "[node]\nid = \"" + id + "\"\n" + settings +
                                    "[operators]\n"
                                    "credential_file = \"operator.secret\"\n"
                                    "[peers]\nsecret_file = \"peer.secret\"\n");
    const boost::json::object announced = Start(
        id, "gcw-node", {"--settings", folder_.File(id + ".toml").string()});
    return {AddressIn(announced, "callers"), AddressIn(announced, "operators")};
  }

  struct GatewayAddresses {
    Address callers;
    Address entries;
    Address readiness;
    Address metrics;
    Address peers;
  };

  // Starts `gcw-gateway` for the platform whose store is at the address
  // `store`; `settings` are added to those that every gateway needs. A gateway
  // of the same id is killed first if it still runs.
  GatewayAddresses StartGateway(const std::string& id,
                                const Address& store,
                                const std::string& settings = {}) {
    folder_.Write(id + ".toml",
                  "[node]\nid = \"" + id +
                      "\"\nzone = \"zone-1\"\nregion = \"region-1\"\n"
                      "[listen]\ncallers = \"127.0.0.1:0\"\n"
                      "readiness = \"127.0.0.1:0\"\n"
                      "entries = \"127.0.0.1:0\"\n"
                      "peers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"
                      "[store]\naddress = \"" +
                      store.value() + "\"\n" + settings);
    const boost::json::object line = Start(
        id, "gcw-gateway", {"--settings", folder_.File(id + ".toml").string()});
    const boost::json::object& fields = line.at("fields").as_object();
    return {AddressIn(fields, "callers"), AddressIn(fields, "entries"),
            AddressIn(fields, "readiness"), AddressIn(fields, "metrics"),
            AddressIn(fields, "peers")};
  }

  // Replaces a part of the program's settings file.
  void ChangeSettings(const std::string& id,
                      const std::string& part,
                      const std::string& changed) const {
    std::string text = folder_.Read(id + ".toml");
    text.replace(text.find(part), part.size(), changed);
    folder_.Write(id + ".toml", text);
  }

  bool HasEnded(const std::string& name) const {
    return children_.at(name)->HasEnded();
  }

  // Returns what the program has written to standard output since the last
  // call.
  std::string TakeOutput(const std::string& name) const {
    return children_.at(name)->TakeOutput();
  }

  std::int64_t PeakMemoryKb(const std::string& name) const {
    return children_.at(name)->PeakMemoryKb();
  }

  std::int64_t OpenDescriptors(const std::string& name) const {
    return children_.at(name)->OpenDescriptors();
  }

  void Signal(const std::string& name, int signal) const {
    children_.at(name)->Signal(signal);
  }

  // Polls until the condition holds; returns false if it does not hold in time.
  // All waits of a test end before CTest's own timeout, which would leave the
  // processes running.
  bool WaitUntil(const std::function<bool()>& condition) const {
    const auto end = std::min(Now() + kMaxWait, started_ + kMaxTestTime);
    while (!condition()) {
      for (const auto& [name, child] : children_) {
        child->ReadOutput();
      }
      if (Now() > end) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return true;
  }

 private:
  static constexpr std::chrono::seconds kMaxWait{60};
  static constexpr std::chrono::seconds kMaxTestTime{100};

  static std::chrono::steady_clock::time_point Now() {
    return std::chrono::steady_clock::now();
  }

  static Address AddressIn(const boost::json::object& announced,
                           std::string_view field) {
    return Address(std::string(announced.at(field).as_string()));
  }

  boost::json::object Start(const std::string& name,
                            const std::string& program,
                            const std::vector<std::string>& arguments) {
    auto child =
        std::make_unique<ChildProcess>(GCW_BINARY_FOLDER "/" + program,
                                       arguments, folder_.File(name + ".log"));
    boost::json::object announced = child->ReadAnnouncement(kMaxWait);
    if (announced.empty()) {
      throw std::runtime_error(
          name + " did not start: " + folder_.Read(name + ".log"));
    }
    children_[name] = std::move(child);
    return announced;
  }

  void PrintLogs() const {
    for (const auto& [name, child] : children_) {
      std::cerr << "== log of " << name << '\n'
                << ChildProcess::EndOf(folder_.Read(name + ".log")) << '\n'
                << "== output of " << name << '\n'
                << child->RecentOutput() << '\n';
    }
  }

  // The folder outlives the processes that write to it.
  TemporaryFolder folder_;
  std::map<std::string, std::unique_ptr<ChildProcess>> children_;
  std::chrono::steady_clock::time_point started_ = Now();
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_PROCESS_FLEET_H_
