#include "programs/gcw_standin/standin_vm_list.h"

#include <algorithm>
#include <utility>

namespace gcw {

StandinVmList::StandinVmList(Time now, std::vector<VmEntry> vms) {
  Replace(now, std::move(vms));
}

void StandinVmList::Replace(Time now, std::vector<VmEntry> vms) {
  history_.Append(now, std::move(vms));
}

VmListSnapshot StandinVmList::Read(Time now, Duration lag) const {
  const auto& entry = history_.At(now - lag);
  return {.as_of = std::max(now - lag, entry.time), .vms = entry.value};
}

}  // namespace gcw
