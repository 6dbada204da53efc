#ifndef STATE_ENDPOINT_H_
#define STATE_ENDPOINT_H_

#include <cstdint>
#include <variant>

#include "core/core.h"
#include "state/vm_list.h"

namespace gcw {

// A target to which requests can be sent now: the first VM of a replica group
// whose serving gate is open, or the VM of a plain service.
struct Endpoint {
  EndpointId id;
  // Empty for plain services.
  GroupId group;
  Generation generation;
  // Empty for plain services.
  ModelId model;
  // Empty for model engines.
  ServiceId service;
  ZoneId zone;
  Address address;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

}  // namespace gcw

#endif  // STATE_ENDPOINT_H_
