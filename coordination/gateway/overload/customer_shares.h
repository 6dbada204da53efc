#ifndef COORDINATION_GATEWAY_OVERLOAD_CUSTOMER_SHARES_H_
#define COORDINATION_GATEWAY_OVERLOAD_CUSTOMER_SHARES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "state/state.h"

namespace gcw {

struct CustomerSharesSettings {
  // Time over which requests are counted.
  Duration window = Duration::Seconds(10);
  // The window moves on in steps of this size.
  Duration step = Duration::Seconds(1);
  // Shares apply until this long after the last request that did not fit into
  // its model's window.
  Duration overload_time = Duration::Seconds(1);
  // A customer gets at least this fraction of what it would get without shares.
  // Otherwise many small customers would leave nothing to a large one.
  double min_fraction = 0.5;
};

// Limits the share of each customer while a model has more requests than its
// groups can start in time.
//
// Load pattern: a customer with half of all requests, while requests are
// deferred. The number of this node's requests of a model and rank that start
// in time is divided by max-min fairness: customers that ask for less than
// their share are not limited, and the others get equal shares. A customer that
// has had its share is deferred. It counts only this node's own requests and so
// needs no messages.
class CustomerShares {
 public:
  explicit CustomerShares(CustomerSharesSettings settings)
      : settings_(settings) {}

  // Whether the customer has had its share, so that its next request is to be
  // deferred. Requests without a customer count as those of one customer.
  bool HasHadShare(Time now,
                   const ServiceId& service,
                   const ModelId& model,
                   Rank rank,
                   const CustomerId& customer) const;
  // A request of the customer arrived and was prioritized or deferred.
  void OnRequest(Time now,
                 const ServiceId& service,
                 const ModelId& model,
                 Rank rank,
                 const CustomerId& customer,
                 bool is_prioritized);
  // A request did not fit into the model's window.
  void OnWindowFull(Time now, const ServiceId& service, const ModelId& model);
  // A request started within its objective, whether it was prioritized or
  // deferred.
  void OnStartedInTime(Time now,
                       const ServiceId& service,
                       const ModelId& model,
                       Rank rank);

  // Number of models for which state is kept.
  std::size_t model_count() const { return models_.size(); }

 private:
  struct CustomerCounts {
    int requests = 0;
    int prioritized = 0;
  };
  using Customers = std::map<CustomerId, CustomerCounts>;
  struct Step {
    Time begin;
    int started = 0;
    Customers customers;
  };
  struct RankState {
    // Oldest first.
    std::deque<Step> steps;
    // Sums over the steps.
    int started = 0;
    int requests = 0;
    Customers customers;
  };
  struct ModelState {
    std::map<Rank, RankState> ranks;
    std::optional<Time> last_full;
  };

  // Returns the current step, after steps beyond the window were removed.
  Step& CurrentStep(Time now, RankState& state) const;
  // Returns how many of `capacity` requests a customer gets that asks for more.
  static double FairShare(const Customers& customers, double capacity);

  CustomerSharesSettings settings_;
  std::map<std::pair<ServiceId, ModelId>, ModelState> models_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_OVERLOAD_CUSTOMER_SHARES_H_
