#ifndef COORDINATION_ADMISSION_ADMISSION_QUEUE_H_
#define COORDINATION_ADMISSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace gcw {

// A request that waits for room.
struct WaitingRequest {
  RequestId id;
  ContractId contract;
  Rank rank;
  // Of the contract within its rank; its token rate.
  double weight = 1;
  // Estimated tokens.
  std::int64_t cost = 0;
  // It is of no use later.
  Time give_up_at;
};

// One tier's bounded queue for one model: strictly by rank, and by weighted
// deficit round robin over tokens among the contracts of a rank. A full queue
// drops the newest request of whoever has most waiting in the lowest rank, so
// that a contract that floods it pushes out its own.
class AdmissionQueue {
 public:
  AdmissionQueue(std::int64_t limit, std::int64_t quantum_tokens);

  // The request that had no place: another one, or the one pushed.
  std::optional<WaitingRequest> Push(WaitingRequest request);
  // The next in turn.
  std::optional<WaitingRequest> Pop();
  void Remove(const RequestId& id);
  std::vector<WaitingRequest> TakeContract(const ContractId& contract);
  std::vector<WaitingRequest> TakeExpired(Time now);

  // Tokens that go before a request of this contract, if it came now.
  double TokensAhead(const WaitingRequest& request) const;
  std::int64_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct Line {
    std::deque<WaitingRequest> requests;
    double weight = 1;
    double deficit = 0;
    double tokens = 0;
  };
  struct RankQueue {
    std::map<ContractId, Line> lines;
    // Contracts in turn; the front one is being served.
    std::deque<ContractId> ring;
    // The front one's turn has added its quantum.
    bool is_turn_open = false;
  };

  static void Enqueue(RankQueue& queue, WaitingRequest request);
  WaitingRequest PopFrom(RankQueue& queue);
  static void DropLine(RankQueue& queue, const ContractId& contract);
  std::optional<WaitingRequest> DropNewestOfLongest();
  template <typename Predicate>
  std::vector<WaitingRequest> TakeIf(Predicate predicate);
  double QuantumOf(const RankQueue& queue, const Line& line) const;

  std::int64_t limit_;
  double quantum_tokens_;
  std::int64_t size_ = 0;
  std::map<Rank, RankQueue> ranks_;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_ADMISSION_QUEUE_H_
