#ifndef COORDINATION_GATEWAY_GROUP_MEMBERSHIP_H_
#define COORDINATION_GATEWAY_GROUP_MEMBERSHIP_H_

#include "state/state.h"

namespace gcw {

// Domains of two services may have one name; their records are apart.
inline FabricDomainId RecordDomain(const VmRegistration& vm) {
  return FabricDomainId(vm.service.value() + "." + vm.domain.value());
}

// Whether the VM says that it is in the group under its present member list.
inline bool IsMemberOf(const VmRegistration& vm, const GroupRecord& group) {
  return vm.membership && vm.membership->group == group.id &&
         vm.membership->generation == group.generation;
}

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_GROUP_MEMBERSHIP_H_
