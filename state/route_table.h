#ifndef STATE_ROUTE_TABLE_H_
#define STATE_ROUTE_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/fleet_configuration.h"

namespace gcw {

// A customer as a request's key names it.
struct CustomerMatch {
  CustomerId customer;
  std::optional<Rank> rank;
};

// One version of the configuration, indexed for the path of a request.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(FleetConfiguration configuration);
  // Its indexes point into the configuration that it holds.
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // The route of that host with the longest prefix that begins the path; null
  // where there is none. `path` has no query.
  const RouteRule* Find(std::string_view host, std::string_view path) const;
  // Null where no customer holds the key.
  const CustomerMatch* FindCustomer(const std::string& key) const;
  const ServiceRule* FindService(const ServiceId& service) const;
  // Whether requests need a key unless their route is open to all.
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
