#include "coordination/admission/admission_queue.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Minimum fraction of the quantum that a turn adds. Without it, a contract with
// a tiny token rate among large ones would take thousands of turns.
constexpr double kSmallestTurn = 0.05;

}  // namespace

AdmissionQueue::AdmissionQueue(std::int64_t limit, std::int64_t quantum_tokens)
    : limit_(limit), quantum_tokens_(static_cast<double>(quantum_tokens)) {}

void AdmissionQueue::Enqueue(RankQueue& queue, WaitingRequest request) {
  const auto [entry, is_new] = queue.lines.try_emplace(request.contract);
  Line& line = entry->second;
  if (is_new) {
    queue.ring.push_back(request.contract);
  }
  line.weight = request.weight;
  line.tokens += static_cast<double>(request.cost);
  line.requests.push_back(std::move(request));
}

std::optional<WaitingRequest> AdmissionQueue::Push(WaitingRequest request) {
  RankQueue& queue = ranks_[request.rank];
  Enqueue(queue, std::move(request));
  ++size_;
  return size_ > limit_ ? DropNewestOfLongest() : std::nullopt;
}

void AdmissionQueue::DropLine(RankQueue& queue, const ContractId& contract) {
  if (queue.ring.front() == contract) {
    queue.is_turn_open = false;
  }
  std::erase(queue.ring, contract);
  queue.lines.erase(contract);
}

std::optional<WaitingRequest> AdmissionQueue::DropNewestOfLongest() {
  RankQueue& queue = ranks_.rbegin()->second;
  const auto longest = std::max_element(
      queue.lines.begin(), queue.lines.end(), [](const auto& a, const auto& b) {
        return a.second.tokens / a.second.weight <
               b.second.tokens / b.second.weight;
      });
  Line& line = longest->second;
  WaitingRequest dropped = std::move(line.requests.back());
  line.requests.pop_back();
  line.tokens -= static_cast<double>(dropped.cost);
  --size_;
  if (line.requests.empty()) {
    DropLine(queue, ContractId(longest->first));
  }
  if (queue.lines.empty()) {
    ranks_.erase(dropped.rank);
  }
  return dropped;
}

// A contract of average weight gets one quantum per turn.
double AdmissionQueue::QuantumOf(const RankQueue& queue,
                                 const Line& line) const {
  double sum = 0;
  for (const auto& [contract, other] : queue.lines) {
    sum += other.weight;
  }
  const double average = sum / static_cast<double>(queue.lines.size());
  const double part = average > 0 ? line.weight / average : 1;
  return quantum_tokens_ * std::max(kSmallestTurn, part);
}

WaitingRequest AdmissionQueue::PopFrom(RankQueue& queue) {
  for (;;) {
    const ContractId contract = queue.ring.front();
    Line& line = queue.lines.at(contract);
    if (!queue.is_turn_open) {
      line.deficit += QuantumOf(queue, line);
      queue.is_turn_open = true;
    }
    const auto cost = static_cast<double>(line.requests.front().cost);
    if (cost <= line.deficit) {
      WaitingRequest next = std::move(line.requests.front());
      line.requests.pop_front();
      line.deficit -= cost;
      line.tokens -= cost;
      if (line.requests.empty()) {
        DropLine(queue, contract);
      }
      return next;
    }
    queue.ring.pop_front();
    queue.ring.push_back(contract);
    queue.is_turn_open = false;
  }
}

std::optional<WaitingRequest> AdmissionQueue::Pop() {
  if (ranks_.empty()) {
    return std::nullopt;
  }
  const auto first = ranks_.begin();
  WaitingRequest next = PopFrom(first->second);
  --size_;
  if (first->second.lines.empty()) {
    ranks_.erase(first);
  }
  return next;
}

template <typename Predicate>
std::vector<WaitingRequest> AdmissionQueue::TakeIf(Predicate predicate) {
  std::vector<WaitingRequest> taken;
  for (auto& [rank, queue] : ranks_) {
    std::vector<ContractId> emptied;
    for (auto& entry : queue.lines) {
      Line& line = entry.second;
      std::erase_if(line.requests, [&](const WaitingRequest& request) {
        if (!predicate(request)) {
          return false;
        }
        line.tokens -= static_cast<double>(request.cost);
        taken.push_back(request);
        return true;
      });
      if (line.requests.empty()) {
        emptied.push_back(entry.first);
      }
    }
    for (const ContractId& contract : emptied) {
      DropLine(queue, contract);
    }
  }
  std::erase_if(ranks_, [](const auto& e) { return e.second.lines.empty(); });
  size_ -= std::ssize(taken);
  return taken;
}

void AdmissionQueue::Remove(const RequestId& id) {
  TakeIf([&id](const WaitingRequest& request) { return request.id == id; });
}

std::vector<WaitingRequest> AdmissionQueue::TakeContract(
    const ContractId& contract) {
  return TakeIf([&contract](const WaitingRequest& request) {
    return request.contract == contract;
  });
}

std::vector<WaitingRequest> AdmissionQueue::TakeExpired(Time now) {
  return TakeIf([now](const WaitingRequest& request) {
    return request.give_up_at <= now;
  });
}

double AdmissionQueue::TokensAhead(const WaitingRequest& request) const {
  double ahead = 0;
  for (const auto& [rank, queue] : ranks_) {
    if (rank > request.rank) {
      break;
    }
    const auto own = queue.lines.find(request.contract);
    const double own_tokens = own == queue.lines.end() ? 0 : own->second.tokens;
    const double turns =
        (own_tokens + static_cast<double>(request.cost)) / request.weight;
    for (const auto& [contract, line] : queue.lines) {
      const bool is_before =
          rank < request.rank || contract == request.contract;
      ahead +=
          is_before ? line.tokens : std::min(line.tokens, turns * line.weight);
    }
  }
  return ahead;
}

}  // namespace gcw
