#include "coordination/admission/admission_queue.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Minimum fraction of the quantum that a turn adds. Without it, a contract with
// a tiny token rate among large ones would take thousands of turns.
constexpr double kMinQuantumFraction = 0.05;

}  // namespace

AdmissionQueue::AdmissionQueue(std::int64_t limit, std::int64_t quantum_tokens)
    : limit_(limit), quantum_tokens_(static_cast<double>(quantum_tokens)) {}

void AdmissionQueue::Enqueue(RankQueue& queue, WaitingRequest request) {
  const auto [entry, is_new] =
      queue.contract_queues.try_emplace(request.contract);
  ContractQueue& contract_queue = entry->second;
  if (is_new) {
    queue.round_robin.push_back(request.contract);
  }
  contract_queue.weight = request.weight;
  contract_queue.tokens += static_cast<double>(request.cost);
  contract_queue.requests.push_back(std::move(request));
}

std::optional<WaitingRequest> AdmissionQueue::Push(WaitingRequest request) {
  RankQueue& queue = ranks_[request.rank];
  Enqueue(queue, std::move(request));
  ++size_;
  return size_ > limit_ ? DropNewestOfLongest() : std::nullopt;
}

void AdmissionQueue::RemoveContractQueue(RankQueue& queue,
                                         const ContractId& contract) {
  if (queue.round_robin.front() == contract) {
    queue.has_quantum = false;
  }
  std::erase(queue.round_robin, contract);
  queue.contract_queues.erase(contract);
}

std::optional<WaitingRequest> AdmissionQueue::DropNewestOfLongest() {
  RankQueue& queue = ranks_.rbegin()->second;
  const auto longest = std::max_element(
      queue.contract_queues.begin(), queue.contract_queues.end(),
      [](const auto& a, const auto& b) {
        return a.second.tokens / a.second.weight <
               b.second.tokens / b.second.weight;
      });
  ContractQueue& contract_queue = longest->second;
  WaitingRequest dropped = std::move(contract_queue.requests.back());
  contract_queue.requests.pop_back();
  contract_queue.tokens -= static_cast<double>(dropped.cost);
  --size_;
  if (contract_queue.requests.empty()) {
    RemoveContractQueue(queue, ContractId(longest->first));
  }
  if (queue.contract_queues.empty()) {
    ranks_.erase(dropped.rank);
  }
  return dropped;
}

// A contract of average weight gets one quantum per turn.
double AdmissionQueue::QuantumOf(const RankQueue& queue,
                                 const ContractQueue& contract_queue) const {
  double sum = 0;
  for (const auto& [contract, other] : queue.contract_queues) {
    sum += other.weight;
  }
  const double average =
      sum / static_cast<double>(queue.contract_queues.size());
  const double relative_weight =
      average > 0 ? contract_queue.weight / average : 1;
  return quantum_tokens_ * std::max(kMinQuantumFraction, relative_weight);
}

WaitingRequest AdmissionQueue::PopFrom(RankQueue& queue) {
  for (;;) {
    const ContractId contract = queue.round_robin.front();
    ContractQueue& contract_queue = queue.contract_queues.at(contract);
    if (!queue.has_quantum) {
      contract_queue.deficit += QuantumOf(queue, contract_queue);
      queue.has_quantum = true;
    }
    const auto cost = static_cast<double>(contract_queue.requests.front().cost);
    if (cost <= contract_queue.deficit) {
      WaitingRequest next = std::move(contract_queue.requests.front());
      contract_queue.requests.pop_front();
      contract_queue.deficit -= cost;
      contract_queue.tokens -= cost;
      if (contract_queue.requests.empty()) {
        RemoveContractQueue(queue, contract);
      }
      return next;
    }
    queue.round_robin.pop_front();
    queue.round_robin.push_back(contract);
    queue.has_quantum = false;
  }
}

std::optional<WaitingRequest> AdmissionQueue::Pop() {
  if (ranks_.empty()) {
    return std::nullopt;
  }
  const auto first = ranks_.begin();
  WaitingRequest next = PopFrom(first->second);
  --size_;
  if (first->second.contract_queues.empty()) {
    ranks_.erase(first);
  }
  return next;
}

template <typename Predicate>
std::vector<WaitingRequest> AdmissionQueue::TakeIf(Predicate predicate) {
  std::vector<WaitingRequest> taken;
  for (auto& [rank, queue] : ranks_) {
    std::vector<ContractId> emptied;
    for (auto& entry : queue.contract_queues) {
      ContractQueue& contract_queue = entry.second;
      std::erase_if(
          contract_queue.requests, [&](const WaitingRequest& request) {
            if (!predicate(request)) {
              return false;
            }
            contract_queue.tokens -= static_cast<double>(request.cost);
            taken.push_back(request);
            return true;
          });
      if (contract_queue.requests.empty()) {
        emptied.push_back(entry.first);
      }
    }
    for (const ContractId& contract : emptied) {
      RemoveContractQueue(queue, contract);
    }
  }
  std::erase_if(ranks_,
                [](const auto& e) { return e.second.contract_queues.empty(); });
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
    return request.wait_deadline <= now;
  });
}

double AdmissionQueue::TokensAhead(const WaitingRequest& request) const {
  double ahead = 0;
  for (const auto& [rank, queue] : ranks_) {
    if (rank > request.rank) {
      break;
    }
    const auto own = queue.contract_queues.find(request.contract);
    const double own_tokens =
        own == queue.contract_queues.end() ? 0 : own->second.tokens;
    const double turns =
        (own_tokens + static_cast<double>(request.cost)) / request.weight;
    for (const auto& [contract, contract_queue] : queue.contract_queues) {
      const bool is_before =
          rank < request.rank || contract == request.contract;
      ahead += is_before ? contract_queue.tokens
                         : std::min(contract_queue.tokens,
                                    turns * contract_queue.weight);
    }
  }
  return ahead;
}

}  // namespace gcw
