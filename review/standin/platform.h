// The platform around the system: its store (the calls of PROTOCOL.md), the
// operator's manifest, replicas of a plain service, and the system's processes.
#ifndef REVIEW_STANDIN_PLATFORM_H_
#define REVIEW_STANDIN_PLATFORM_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <vector>

#include <boost/json.hpp>

#include "net.h"

namespace review {

// What was sent, answered and run, for record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Add(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", Now());
    file_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline std::string Base64(const std::string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0);
    }
    for (int j = 0; j < 4; ++j) {
      text += i + static_cast<std::size_t>(j) > bytes.size()
                  ? '='
                  : kDigits[value >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

class Store {
 public:
  Store()
      : server_([this](int fd, Reader& reader, Message& request) {
          // An outage is silent: no call is answered, and nothing is done.
          if (!reader.ReadBody(request) || is_down_) {
            Sleep(is_down_ ? 30 : 0);
            return false;
          }
          return WriteAll(fd, Handle(request));
        }) {}

  int port() const { return server_.port(); }
  void SetDown(bool is_down) { is_down_ = is_down; }
  bool is_down() const { return is_down_; }

  // Writes of the operator and of replicas.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    Write(key, Base64(value), 0);
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    Erase(key);
  }
  std::string Value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    ExpireLeases();
    const auto found = items_.find(key);
    return found == items_.end() ? "" : found->second.value;
  }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::int64_t revision = 0;
    bool is_deleted = false;
    Item item;
  };
  struct Lease {
    double ttl = 0;
    double ends = 0;
  };

  static std::string Query(const std::string& target, const std::string& name) {
    const std::size_t question = target.find('?');
    std::string query =
        question == std::string::npos ? "" : "&" + target.substr(question + 1);
    const std::size_t found = query.find("&" + name + "=");
    if (found == std::string::npos) {
      return "";
    }
    std::string text = query.substr(found + name.size() + 2);
    text = text.substr(0, text.find('&'));
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%') {
        plain += static_cast<char>(
            std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        plain += text[i];
      }
    }
    return plain;
  }

  static boost::json::object Json(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }

  static std::string Answer(int status, const boost::json::object& body) {
    return Response(status, "Content-Type: application/json\r\n",
                    boost::json::serialize(body));
  }

  void Write(const std::string& key, std::string value, std::int64_t lease) {
    Item& item = items_[key];
    item.value = std::move(value);
    item.revision = ++revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    item.lease = lease;
    events_.push_back({key, revision_, false, item});
    changed_.notify_all();
  }

  void Erase(const std::string& key) {
    if (items_.erase(key) > 0) {
      events_.push_back({key, ++revision_, true, {}});
      changed_.notify_all();
    }
  }

  void EndLease(std::int64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
    leases_.erase(id);
  }

  void ExpireLeases() {
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (Now() >= lease.ends) {
        ended.push_back(id);
      }
    }
    for (const std::int64_t id : ended) {
      EndLease(id);
    }
  }

  std::string Handle(const Message& request) {
    std::istringstream line(request.first_line);
    std::string method;
    std::string target;
    line >> method >> target;
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock lock(mutex_);
    ExpireLeases();
    if (path == "/kv-key") {
      const std::string key = Query(target, "key");
      const auto found = items_.find(key);
      if (found == items_.end()) {
        return Answer(404, {});
      }
      boost::json::object body = Json(key, found->second);
      body["current_rev"] = revision_;
      return Answer(200, body);
    }
    if (path == "/kv-range") {
      return Range(target);
    }
    if (path == "/kv-watch") {
      return Watch(target, lock);
    }
    if (path == "/kv-txn") {
      return Change(boost::json::parse(request.body).as_object());
    }
    if (path == "/kv-lease") {
      const std::int64_t ttl =
          boost::json::parse(request.body).as_object().at("ttl_ms").as_int64();
      const std::int64_t id = ++last_lease_;
      leases_[id] = {static_cast<double>(ttl) / 1000,
                     Now() + static_cast<double>(ttl) / 1000};
      return Answer(200, {{"lease", id}, {"ttl_ms", ttl}});
    }
    const std::size_t slash = path.rfind('/');
    const std::int64_t id = std::strtoll(path.c_str() + slash + 1, nullptr, 10);
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
      return Answer(404, {});
    }
    if (path.starts_with("/kv-keep/")) {
      lease->second.ends = Now() + lease->second.ttl;
      return Answer(200, {{"ttl_ms", static_cast<std::int64_t>(
                                         lease->second.ttl * 1000)}});
    }
    EndLease(id);
    return Answer(200, {});
  }

  std::string Range(const std::string& target) {
    const std::string prefix = Query(target, "prefix");
    const std::string after = Query(target, "after");
    boost::json::array items;
    bool has_more = false;
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(prefix) || key <= after) {
        continue;
      }
      if (items.size() == 500) {
        has_more = true;
        break;
      }
      items.push_back(Json(key, item));
    }
    return Answer(200, {{"items", std::move(items)},
                        {"more_pages", has_more},
                        {"current_rev", revision_}});
  }

  std::string Watch(const std::string& target,
                    std::unique_lock<std::mutex>& lock) {
    const std::string prefix = Query(target, "prefix");
    const std::int64_t after =
        std::strtoll(Query(target, "after").c_str(), nullptr, 10);
    const double ends =
        Now() + std::strtod(Query(target, "wait_ms").c_str(), nullptr) / 1000;
    while (true) {
      ExpireLeases();
      boost::json::array events;
      for (const Event& event : events_) {
        if (event.revision <= after || !event.key.starts_with(prefix)) {
          continue;
        }
        if (event.is_deleted) {
          events.push_back(boost::json::object{{"key", event.key},
                                               {"revision", event.revision},
                                               {"deleted", true}});
        } else {
          events.push_back(Json(event.key, event.item));
        }
      }
      if (!events.empty() || Now() >= ends) {
        return Answer(200, {{"events", std::move(events)},
                            {"current_rev", revision_}});
      }
      if (is_down_) {
        lock.unlock();
        Sleep(30);
        lock.lock();
      }
      changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
  }

  std::string Change(const boost::json::object& body) {
    bool holds = true;
    boost::json::array current;
    for (const auto& row : body.at("expected").as_array()) {
      const std::string key(row.as_object().at("key").as_string());
      const auto found = items_.find(key);
      const std::int64_t revision =
          found == items_.end() ? 0 : found->second.revision;
      holds = holds && revision == row.as_object().at("revision").as_int64();
      if (found != items_.end()) {
        current.push_back(Json(key, found->second));
      }
    }
    if (!holds) {
      return Answer(412, {{"items", std::move(current)}});
    }
    for (const auto& row : body.at("writes").as_array()) {
      const auto* lease = row.as_object().if_contains("lease");
      if (lease != nullptr && lease->as_int64() != 0 &&
          !leases_.contains(lease->as_int64())) {
        return Answer(404, {});
      }
    }
    for (const auto& row : body.at("writes").as_array()) {
      const auto* lease = row.as_object().if_contains("lease");
      Write(std::string(row.as_object().at("key").as_string()),
            std::string(row.as_object().at("value").as_string()),
            lease == nullptr ? 0 : lease->as_int64());
    }
    for (const auto& key : body.at("remove").as_array()) {
      Erase(std::string(key.as_string()));
    }
    return Answer(200, {{"revision", revision_}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 1000;
  std::atomic<bool> is_down_ = false;
  // Last: its threads use everything above.
  Server server_;
};

// deploy/gateway.toml.template, filled in as DEPLOY.md tells.
class Template {
 public:
  static std::string FillIn(
      const std::map<std::string, std::string>& fields,
      const std::map<std::string, std::vector<std::string>>& lists) {
    std::ifstream file("deploy/gateway.toml.template");
    std::stringstream text;
    text << file.rdbuf();
    if (text.str().empty()) {
      std::fprintf(stderr, "deploy/gateway.toml.template is not here\n");
      _exit(2);
    }
    return Expand(text.str(), fields, lists);
  }

 private:
  static std::string Expand(
      const std::string& text,
      const std::map<std::string, std::string>& fields,
      const std::map<std::string, std::vector<std::string>>& lists) {
    std::string result;
    std::size_t at = 0;
    while (true) {
      const std::size_t open = text.find("{{", at);
      result += text.substr(at, open - at);
      if (open == std::string::npos) {
        return result;
      }
      const std::size_t close = text.find("}}", open);
      const std::string name = text.substr(open + 2, close - open - 2);
      at = close + 2;
      if (name[0] != '#') {
        const auto field = fields.find(name);
        result += field == fields.end() ? "" : field->second;
        continue;
      }
      const std::string end = "{{/" + name.substr(1) + "}}";
      const std::size_t last = text.find(end, at);
      const std::string section = text.substr(at, last - at);
      at = last + end.size();
      const auto list = lists.find(name.substr(1));
      if (list == lists.end()) {
        result += fields.count(name.substr(1)) > 0
                      ? Expand(section, fields, lists)
                      : "";
        continue;
      }
      for (std::size_t i = 0; i < list->second.size(); ++i) {
        std::map<std::string, std::string> entry = fields;
        entry["."] = list->second[i];
        entry[","] = i + 1 < list->second.size() ? "," : "";
        result += Expand(section, entry, lists);
      }
    }
  }
};

// One process of the system, started as deploy/system.toml does.
class Node {
 public:
  Node(std::string program, std::string folder, std::string name, Store& store)
      : program_(std::move(program)),
        folder_(std::move(folder)),
        name_(std::move(name)),
        store_port_(store.port()),
        callers(FreePort()),
        readiness(FreePort()),
        entries(FreePort()),
        peers(FreePort()) {}

  // `bounds` replaces figures of the sheet.
  void Start(const std::vector<int>& seeds,
             const std::map<std::string, std::string>& bounds = {}) {
    const std::string settings = folder_ + "/" + name_ + ".toml";
    {
      std::ofstream file(settings);
      file << Template::FillIn(Fields(bounds), Lists(seeds));
    }
    const std::string log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      // Nothing stays behind if the stand-in itself is ended.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("GOLDCRESTWEIR_BOOT", settings.c_str(), 1);
      execl(program_.c_str(), program_.c_str(), "--settings-from",
            "GOLDCRESTWEIR_BOOT", nullptr);
      _exit(127);
    }
  }

  bool IsReady() const {
    return Call(readiness, "GET", "/readyz", "", "") == 200;
  }
  void Signal(int signal) const { kill(pid_, signal); }
  // Whether the process has ended; reaps it.
  bool HasEnded() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ <= 0;
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, &status_, 0);
      pid_ = 0;
    }
  }
  int status() const { return status_; }
  double MemoryMb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with("VmRSS:")) {
        return std::strtod(line.c_str() + 6, nullptr) / 1024;
      }
    }
    return 0;
  }
  const std::string& name() const { return name_; }

 private:
  std::map<std::string, std::string> Fields(
      const std::map<std::string, std::string>& bounds) const {
    const auto address = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    std::map<std::string, std::string> fields = {
        {"node_name", name_},
        {"ip", MetricsIp()},
        {"zone", "zone-a"},
        {"region", "region"},
        {"limits.cpu_quota", "0.25"},
        {"listen.front", address(callers)},
        {"listen.readiness", address(readiness)},
        {"listen.directory", address(entries)},
        {"listen.control", address(peers)},
        {"platform.address", address(store_port_)},
        {"bounds.drain_ms", "2000"},
        {"bounds.config_ms", "2000"},
        {"bounds.retry_ratio", "0.2"},
        {"bounds.retry_slack", "132"},
        {"bounds.retry_window_s", "10"},
        {"bounds.grace_s", "8"}};
    for (const auto& [name, figure] : bounds) {
      fields["bounds." + name] = figure;
    }
    return fields;
  }
  // The template sets the port of the metrics, so each process needs a loopback
  // address of its own.
  std::string MetricsIp() const {
    return "127.77." + std::to_string(getpid() % 250 + 1) + "." +
           std::to_string(name_.back() - '0');
  }
  static std::map<std::string, std::vector<std::string>> Lists(
      const std::vector<int>& seeds) {
    std::map<std::string, std::vector<std::string>> lists = {
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "engine",
          "stream", "tenants", "platform", "gangs"}}};
    for (const int port : seeds) {
      lists["seed_nodes"].push_back("127.0.0.1:" + std::to_string(port));
    }
    return lists;
  }

  std::string program_;
  std::string folder_;
  std::string name_;
  int store_port_;
  pid_t pid_ = 0;
  int status_ = 0;

 public:
  const int callers;
  const int readiness;
  const int entries;
  const int peers;
};

}  // namespace review

#endif  // REVIEW_STANDIN_PLATFORM_H_
