#ifndef TESTS_SUPPORT_SILENCE_RULE_H_
#define TESTS_SUPPORT_SILENCE_RULE_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {

// Checks the users' rule for endpoints that fall silent: a request that an
// endpoint runs ends whole or by its own time limit, unless the endpoint is
// lost.
class SilenceRule {
 public:
  explicit SilenceRule(int events_per_answer)
      : events_per_answer_(events_per_answer) {}

  // Requests that arrive from now on count.
  void Start() {
    open_.clear();
    is_active_ = true;
  }
  void Stop() {
    open_.clear();
    is_active_ = false;
  }
  // Violations are described relative to this time.
  void OnPause(Time now) { paused_at_ = now; }

  // The request reached an endpoint of the group. Its route allows `max_runs`.
  void OnArrival(Fingerprint content, const GroupId& group, int max_runs) {
    if (!is_active_) {
      return;
    }
    Request& request = open_[content];
    request.groups.push_back(group);
    if (++request.runs > max_runs) {
      extra_runs_.push_back(content);
    }
  }
  // The endpoint stated that it did not run the request.
  void OnNotRun(Fingerprint content) {
    if (Request* request = Find(content)) {
      --request->runs;
      request->groups.pop_back();
    }
  }
  void OnDelivered(Fingerprint content, int event) {
    Request* request = Find(content);
    if (request == nullptr) {
      return;
    }
    if (event != request->last_event + 1) {
      wrong_events_.push_back(content);
    }
    request->last_event = event;
  }
  // An attempt of the request reached the request's time limit.
  void OnTimedOut(Fingerprint content) {
    if (Request* request = Find(content)) {
      request->is_timed_out = true;
    }
  }
  // `cause` is what the node reports of an answer that is cut.
  void OnFinal(Time now,
               Fingerprint content,
               const ForwardStep& step,
               const std::string& cause) {
    const Request* request = Find(content);
    if (request == nullptr) {
      return;
    }
    if (std::holds_alternative<PassAnswer>(step)) {
      ++whole_;
      if (request->last_event != events_per_answer_) {
        wrong_events_.push_back(content);
      }
    } else if ((std::holds_alternative<ForwardTruncated>(step) ||
                std::holds_alternative<ForwardOutcomeUnknown>(step)) &&
               !request->is_timed_out && RunsAtSoundGroup(*request)) {
      if (cut_.empty()) {
        first_cut_ = SincePause(now);
      }
      ++cut_[cause];
    }
    open_.erase(content);
  }
  // The caller left before the end of its answer.
  void OnLeft(Fingerprint content) { open_.erase(content); }

  // A member of the group is lost.
  void OnGroupLost(const GroupId& group) { lost_groups_.insert(group); }
  // The platform closes the group.
  void OnGroupClosed(Time now,
                     const GroupId& group,
                     const std::string& reason) {
    if (closed_groups_.insert(group).second && !lost_groups_.contains(group)) {
      // The reason's detail is the name of a VM.
      ++closed_[reason.substr(0, reason.find(':')) + " at " + SincePause(now)];
    }
  }

  // Each of these returns an empty text if the rule holds.
  std::string CutAnswers() const {
    if (cut_.empty()) {
      return "";
    }
    std::string text = std::to_string(whole_) + " answers whole, cut:";
    for (const auto& [cause, count] : cut_) {
      text += " " + std::to_string(count) + " (" + cause + ")";
    }
    return text + ", the first at " + first_cut_;
  }
  std::string ClosedGroups() const {
    std::string text;
    for (const auto& [reason, count] : closed_) {
      text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + reason;
    }
    return text;
  }
  std::string ExtraRuns() const { return Count(extra_runs_); }
  std::string WrongEvents() const { return Count(wrong_events_); }

  int whole() const { return whole_; }
  // Number of requests that reached an endpoint and have not ended.
  std::size_t open() const { return open_.size(); }
  bool IsOpen(Fingerprint content) const { return open_.contains(content); }
  bool IsLost(const GroupId& group) const {
    return lost_groups_.contains(group);
  }

 private:
  struct Request {
    // Groups of the endpoints that it reached.
    std::vector<GroupId> groups;
    int runs = 0;
    int last_event = 0;
    bool is_timed_out = false;
  };

  Request* Find(Fingerprint content) {
    const auto found = open_.find(content);
    return found == open_.end() ? nullptr : &found->second;
  }
  // Closing a sound group is a violation of its own.
  bool RunsAtSoundGroup(const Request& request) const {
    return std::any_of(request.groups.begin(), request.groups.end(),
                       [this](const GroupId& group) {
                         return !group.empty() &&
                                !lost_groups_.contains(group) &&
                                !closed_groups_.contains(group);
                       });
  }
  std::string SincePause(Time now) const {
    return "+" + std::to_string((now - paused_at_).millis()) + " ms";
  }
  static std::string Count(const std::vector<Fingerprint>& requests) {
    return requests.empty()
               ? ""
               : std::to_string(requests.size()) + ", first request " +
                     std::to_string(requests.front().value());
  }

  int events_per_answer_;
  bool is_active_ = false;
  Time paused_at_;
  std::map<Fingerprint, Request> open_;
  std::set<GroupId> lost_groups_;
  std::set<GroupId> closed_groups_;
  int whole_ = 0;
  // Number of cut answers by their causes.
  std::map<std::string, int> cut_;
  std::string first_cut_;
  // Number of closed groups by reason and time.
  std::map<std::string, int> closed_;
  std::vector<Fingerprint> extra_runs_;
  std::vector<Fingerprint> wrong_events_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_SILENCE_RULE_H_
