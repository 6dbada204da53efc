#ifndef STATE_ENDPOINT_H_
#define STATE_ENDPOINT_H_

#include <cstdint>
#include <variant>

#include "core/core.h"
#include "state/vm_list.h"

namespace gcw {

// Something that requests can be sent to now: a replica group whose serving
// gate is open, by its first VM, or a plain service's VM.
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
