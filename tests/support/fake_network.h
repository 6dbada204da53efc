#ifndef TESTS_SUPPORT_FAKE_NETWORK_H_
#define TESTS_SUPPORT_FAKE_NETWORK_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace gcw {

// Faults of messages between nodes. Rates are from 0 to 1.
struct FakeNetworkFaults {
  Duration min_delay = Duration::Millis(1);
  // Delays vary, so that messages can overtake each other.
  Duration max_delay = Duration::Millis(3);
  double loss_rate = 0;
  double duplication_rate = 0;
};

// Delivers messages between nodes in virtual time.
template <typename Message>
class FakeNetwork {
 public:
  struct Delivery {
    NodeId from;
    NodeId to;
    Message message;
  };

  explicit FakeNetwork(Random random) : random_(std::move(random)) {}

  FakeNetworkFaults& faults() { return faults_; }
  // Sets the predicate for pairs of nodes that reach each other; initially all
  // do.
  void SetConnected(
      std::function<bool(const NodeId& from, const NodeId& to)> connected) {
    connected_ = std::move(connected);
  }

  void Send(Time now, const NodeId& from, const NodeId& to, Message message) {
    ++sent_;
    if (!connected_(from, to)) {
      return;
    }
    if (Chance(faults_.duplication_rate)) {
      Enqueue(now, from, to, message);
    }
    if (!Chance(faults_.loss_rate)) {
      Enqueue(now, from, to, std::move(message));
    }
  }

  // Returns the messages that have arrived by `now`, in order of arrival.
  std::vector<Delivery> Deliver(Time now) {
    std::vector<Delivery> due;
    while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
      Delivery delivery = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      if (connected_(delivery.from, delivery.to)) {
        due.push_back(std::move(delivery));
      }
    }
    return due;
  }

  std::int64_t sent() const { return sent_; }

 private:
  bool Chance(double probability) {
    return probability > 0 && DrawUnit(random_) < probability;
  }

  void Enqueue(Time now,
               const NodeId& from,
               const NodeId& to,
               Message message) {
    const auto delay_range =
        faults_.max_delay.millis() - faults_.min_delay.millis();
    const Duration delay =
        faults_.min_delay +
        Duration::Millis(static_cast<std::int64_t>(
            DrawBelow(random_, static_cast<std::uint64_t>(delay_range) + 1)));
    in_flight_.emplace(now + delay, Delivery{from, to, std::move(message)});
  }

  Random random_;
  FakeNetworkFaults faults_;
  std::function<bool(const NodeId&, const NodeId&)> connected_ =
      [](const NodeId&, const NodeId&) { return true; };
  std::multimap<Time, Delivery> in_flight_;
  std::int64_t sent_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_FAKE_NETWORK_H_
