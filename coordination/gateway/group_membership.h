#ifndef COORDINATION_GATEWAY_GROUP_MEMBERSHIP_H_
#define COORDINATION_GATEWAY_GROUP_MEMBERSHIP_H_

#include "state/state.h"

namespace gcw {

// Returns the domain's id qualified by its service. Domains of two services may
// have the same name but have separate records.
inline FabricDomainId ScopedDomainId(const VmRegistration& vm) {
  return FabricDomainId(vm.service.value() + "." + vm.domain.value());
}

// Whether the VM reports that it is in the group in its current generation.
inline bool IsMemberOf(const VmRegistration& vm, const GroupRecord& group) {
  return vm.membership && vm.membership->group == group.id &&
         vm.membership->generation == group.generation;
}

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_GROUP_MEMBERSHIP_H_
