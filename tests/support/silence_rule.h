#ifndef TESTS_SUPPORT_SILENCE_RULE_H_
#define TESTS_SUPPORT_SILENCE_RULE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
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
  // The requests' route allows `max_runs`.
  SilenceRule(int events_per_answer, std::size_t max_runs)
      : events_per_answer_(events_per_answer), max_runs_(max_runs) {}

  // Requests of larger contents than this one count.
  void Start(Fingerprint last) {
    open_.clear();
    last_ignored_ = last;
  }
  void Stop() { Start(Fingerprint(std::numeric_limits<std::int64_t>::max())); }
  // Violations are described relative to this time.
  void OnPause(Time now) { paused_at_ = now; }

  // The request reached an endpoint of the group.
  void OnArrival(Fingerprint content, const GroupId& group) {
    if (IsCounted(content)) {
      AddRun(content, open_[content], group);
    }
  }
  // The endpoint stated that it did not run the request.
  void OnNotRun(Fingerprint content, const GroupId& group) {
    const auto found = open_.find(content);
    if (found != open_.end()) {
      std::erase(found->second.groups, group);
    }
  }
  // The caller got an event of an endpoint of the group.
  void OnDelivered(Fingerprint content, const GroupId& group, int event) {
    if (!IsCounted(content)) {
      return;
    }
    if (ended_.contains(content)) {
      wrong_events_.insert(content);
      return;
    }
    Request& request = open_[content];
    if (event != request.last_event + 1) {
      wrong_events_.insert(content);
    }
    request.last_event = event;
    // The request reached the endpoint after the path to it was back.
    if (std::count(request.groups.begin(), request.groups.end(), group) == 0) {
      AddRun(content, request, group);
    }
  }
  // An attempt of the request reached the request's time limit.
  void OnTimedOut(Fingerprint content) {
    if (IsCounted(content) && !ended_.contains(content)) {
      open_[content].is_timed_out = true;
    }
  }
  // `cause` is what the node reports of an answer that is cut.
  void OnFinal(Time now,
               Fingerprint content,
               const ForwardStep& step,
               const std::string& cause) {
    const auto found = open_.find(content);
    if (found == open_.end()) {
      return;
    }
    const Request& request = found->second;
    if (std::holds_alternative<PassAnswer>(step)) {
      ++whole_;
      if (request.last_event != events_per_answer_) {
        wrong_events_.insert(content);
      }
    } else if ((std::holds_alternative<ForwardTruncated>(step) ||
                std::holds_alternative<ForwardOutcomeUnknown>(step)) &&
               !request.is_timed_out && RunsAtSoundGroup(request)) {
      if (cut_.empty()) {
        first_cut_ = SincePause(now);
      }
      ++cut_[cause];
    }
    OnLeft(content);
  }
  // The caller left before the end of its answer.
  void OnLeft(Fingerprint content) {
    if (open_.erase(content) > 0) {
      ended_.insert(content);
    }
  }

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
  bool IsLost(const GroupId& group) const {
    return lost_groups_.contains(group);
  }

 private:
  struct Request {
    // Groups of the endpoints that it reached, one for each run.
    std::vector<GroupId> groups;
    int last_event = 0;
    bool is_timed_out = false;
  };

  bool IsCounted(Fingerprint content) const { return content > last_ignored_; }
  void AddRun(Fingerprint content, Request& request, const GroupId& group) {
    request.groups.push_back(group);
    if (request.groups.size() > max_runs_) {
      extra_runs_.insert(content);
    }
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
  static std::string Count(const std::set<Fingerprint>& requests) {
    return requests.empty()
               ? ""
               : std::to_string(requests.size()) + ", first request " +
                     std::to_string(requests.begin()->value());
  }

  int events_per_answer_;
  std::size_t max_runs_;
  Fingerprint last_ignored_{std::numeric_limits<std::int64_t>::max()};
  Time paused_at_;
  std::map<Fingerprint, Request> open_;
  std::set<Fingerprint> ended_;
  std::set<GroupId> lost_groups_;
  std::set<GroupId> closed_groups_;
  int whole_ = 0;
  // Number of cut answers by their causes.
  std::map<std::string, int> cut_;
  std::string first_cut_;
  // Number of closed groups by reason and time.
  std::map<std::string, int> closed_;
  std::set<Fingerprint> extra_runs_;
  std::set<Fingerprint> wrong_events_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_SILENCE_RULE_H_
