#include "coordination/membership/rumor_queue.h"

#include <iterator>
#include <utility>

namespace gcw {
namespace {

std::string SubjectOf(const FingerprintDelta& delta) {
  return "f/" + std::to_string(delta.fingerprint.value());
}

std::string SubjectOf(const RoleHolderDelta& delta) {
  return "r/" + delta.role.value();
}

std::string SubjectOf(const MemberRumor& rumor) {
  return "m/" + rumor.node.value();
}

std::string SubjectOf(const DeltaRumor& rumor) {
  return "d/" + rumor.origin.value() + "/" +
         std::visit([](const auto& d) { return SubjectOf(d); }, rumor.delta);
}

}  // namespace

void RumorQueue::Add(const Rumor& rumor) {
  std::string subject =
      std::visit([](const auto& r) { return SubjectOf(r); }, rumor);
  const auto earlier = by_subject_.find(subject);
  if (earlier != by_subject_.end()) {
    waiting_.erase(earlier->second);
    by_subject_.erase(earlier);
  }
  const auto it =
      waiting_.emplace(0, Waiting{subject, rumor, EstimatedSize(rumor)});
  by_subject_.emplace(std::move(subject), it);
  if (waiting_.size() > kMaxWaiting) {
    Erase(std::prev(waiting_.end()));
  }
}

std::vector<Rumor> RumorQueue::Take(std::size_t max_bytes) {
  std::vector<Rumor> taken;
  std::vector<Queue::node_type> again;
  std::size_t bytes = 0;
  while (!waiting_.empty()) {
    const auto first = waiting_.begin();
    bytes += first->second.bytes;
    if (bytes > max_bytes && !taken.empty()) {
      break;
    }
    taken.push_back(first->second.rumor);
    if (first->first + 1 >= transmissions_) {
      Erase(first);
      continue;
    }
    Queue::node_type node = waiting_.extract(first);
    ++node.key();
    again.push_back(std::move(node));
  }
  for (Queue::node_type& node : again) {
    const auto it = waiting_.insert(std::move(node));
    by_subject_[it->second.subject] = it;
  }
  return taken;
}

void RumorQueue::Erase(Queue::iterator it) {
  by_subject_.erase(it->second.subject);
  waiting_.erase(it);
}

}  // namespace gcw
