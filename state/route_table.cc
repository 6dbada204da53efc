#include "state/route_table.h"

#include <utility>

namespace gcw {

RouteTable::RouteTable(FleetConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (const RouteRule& rule : configuration_.routes) {
    hosts_[rule.host].emplace(rule.prefix, &rule);
  }
  for (const ServiceRule& service : configuration_.services) {
    services_.emplace(service.id, &service);
  }
  for (const CustomerKeys& customer : configuration_.customers) {
    for (const std::string& key : customer.keys) {
      customers_.emplace(key, CustomerMatch{customer.customer, customer.rank});
    }
  }
}

const RouteRule* RouteTable::Find(std::string_view host,
                                  std::string_view path) const {
  const auto prefixes = hosts_.find(std::string(host));
  if (prefixes == hosts_.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only parts of the path that end with a
  // slash can match; the longest is tried first.
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found =
        prefixes->second.find(std::string(path.substr(0, end + 1)));
    if (found != prefixes->second.end()) {
      return found->second;
    }
    if (end == 0) {
      break;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const CustomerMatch* RouteTable::FindCustomer(const std::string& key) const {
  const auto found = customers_.find(key);
  return found == customers_.end() ? nullptr : &found->second;
}

const ServiceRule* RouteTable::FindService(const ServiceId& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace gcw
