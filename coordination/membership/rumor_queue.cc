#include "coordination/membership/rumor_queue.h"

#include <iterator>
#include <utility>

namespace gcw {
namespace {

std::string SubjectKey(const FingerprintDelta& delta) {
  return "f/" + std::to_string(delta.fingerprint.value());
}

std::string SubjectKey(const RoleHolderDelta& delta) {
  return "r/" + delta.role.value();
}

std::string SubjectKey(const MemberRumor& rumor) {
  return "m/" + rumor.node.value();
}

std::string SubjectKey(const DeltaRumor& rumor) {
  return "d/" + rumor.origin.value() + "/" +
         std::visit([](const auto& d) { return SubjectKey(d); }, rumor.delta);
}

}  // namespace

void RumorQueue::Add(const Rumor& rumor) {
  std::string subject =
      std::visit([](const auto& r) { return SubjectKey(r); }, rumor);
  const auto existing = by_subject_.find(subject);
  if (existing != by_subject_.end()) {
    queue_.erase(existing->second);
    by_subject_.erase(existing);
  }
  const auto it =
      queue_.emplace(0, QueuedRumor{subject, rumor, EstimatedSize(rumor)});
  by_subject_.emplace(std::move(subject), it);
  if (queue_.size() > kMaxQueued) {
    Erase(std::prev(queue_.end()));
  }
}

std::vector<Rumor> RumorQueue::Take(std::size_t max_bytes) {
  std::vector<Rumor> taken;
  std::vector<Queue::node_type> requeued;
  std::size_t bytes = 0;
  while (!queue_.empty()) {
    const auto first = queue_.begin();
    bytes += first->second.bytes;
    if (bytes > max_bytes && !taken.empty()) {
      break;
    }
    taken.push_back(first->second.rumor);
    if (first->first + 1 >= transmissions_) {
      Erase(first);
      continue;
    }
    Queue::node_type node = queue_.extract(first);
    ++node.key();
    requeued.push_back(std::move(node));
  }
  for (Queue::node_type& node : requeued) {
    const auto it = queue_.insert(std::move(node));
    by_subject_[it->second.subject] = it;
  }
  return taken;
}

void RumorQueue::Erase(Queue::iterator it) {
  by_subject_.erase(it->second.subject);
  queue_.erase(it);
}

}  // namespace gcw
