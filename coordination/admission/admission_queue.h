#ifndef COORDINATION_ADMISSION_ADMISSION_QUEUE_H_
#define COORDINATION_ADMISSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace gcw {

// A request that waits for room at a model's endpoints.
struct WaitingRequest {
  RequestId id;
  ContractId contract;
  Rank rank;
  // Weight of the contract among those of its rank: its token rate.
  double weight = 1;
  // Cost in estimated tokens.
  std::int64_t cost = 0;
  // The request is refused if it still waits at this time.
  Time wait_deadline;
};

// Bounded queue of one tier for one model. Ranks are served in strict order,
// and the contracts of a rank by weighted deficit round robin over tokens. A
// full queue drops the newest request of the contract with the most tokens by
// weight in the last rank, so that a contract that floods the queue pushes out
// its own requests.
class AdmissionQueue {
 public:
  AdmissionQueue(std::int64_t limit, std::int64_t quantum_tokens);

  // Returns the request that was dropped because the queue was full, if any; it
  // may be `request` itself.
  std::optional<WaitingRequest> Push(WaitingRequest request);
  // Returns the next request to serve, or nothing if the queue is empty.
  std::optional<WaitingRequest> Pop();
  void Remove(const RequestId& id);
  std::vector<WaitingRequest> TakeContract(const ContractId& contract);
  std::vector<WaitingRequest> TakeExpired(Time now);

  // Estimated tokens that would be served before `request` if it were pushed
  // now.
  double TokensAhead(const WaitingRequest& request) const;
  std::int64_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct ContractQueue {
    std::deque<WaitingRequest> requests;
    double weight = 1;
    double deficit = 0;
    double tokens = 0;
  };
  struct RankQueue {
    std::map<ContractId, ContractQueue> contract_queues;
    // Order of the round robin; the front contract has its turn.
    std::deque<ContractId> round_robin;
    // True if the front contract has received the quantum of its turn.
    bool has_quantum = false;
  };

  static void Enqueue(RankQueue& queue, WaitingRequest request);
  WaitingRequest PopFrom(RankQueue& queue);
  static void RemoveContractQueue(RankQueue& queue, const ContractId& contract);
  std::optional<WaitingRequest> DropNewestOfLongest();
  template <typename Predicate>
  std::vector<WaitingRequest> TakeIf(Predicate predicate);
  double QuantumOf(const RankQueue& queue,
                   const ContractQueue& contract_queue) const;

  std::int64_t limit_;
  double quantum_tokens_;
  std::int64_t size_ = 0;
  std::map<Rank, RankQueue> ranks_;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_ADMISSION_QUEUE_H_
