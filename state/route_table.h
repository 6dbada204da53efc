#ifndef STATE_ROUTE_TABLE_H_
#define STATE_ROUTE_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/fleet_configuration.h"

namespace gcw {

// The customer that a request's key belongs to.
struct CustomerMatch {
  CustomerId customer;
  std::optional<Rank> rank;
};

// One version of the configuration, indexed for request routing.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(FleetConfiguration configuration);
  // The indexes point into the configuration that the table holds.
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // Returns the host's route with the longest prefix that begins the path, or
  // null if there is none. `path` must not contain the query.
  const RouteRule* Find(std::string_view host, std::string_view path) const;
  // Returns null if no customer has the key.
  const CustomerMatch* FindCustomer(const std::string& key) const;
  const ServiceRule* FindService(const ServiceId& service) const;
  // True if requests need a key unless their route is open to all.
  bool needs_keys() const { return !configuration_.customers.empty(); }
  const FleetConfiguration& configuration() const { return configuration_; }

 private:
  using Prefixes = std::unordered_map<std::string, const RouteRule*>;

  FleetConfiguration configuration_;
  std::unordered_map<std::string, Prefixes> hosts_;
  std::unordered_map<std::string, CustomerMatch> customers_;
  std::unordered_map<ServiceId, const ServiceRule*> services_;
};

}  // namespace gcw

#endif  // STATE_ROUTE_TABLE_H_
