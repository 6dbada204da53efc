#ifndef PROGRAMS_GCW_STANDIN_STANDIN_VM_LIST_H_
#define PROGRAMS_GCW_STANDIN_STANDIN_VM_LIST_H_

#include <vector>

#include "programs/gcw_standin/value_history.h"
#include "state/state.h"

namespace gcw {

// The VM list of the platform. A read returns the list as it was `lag` ago.
class StandinVmList {
 public:
  explicit StandinVmList(Time now, std::vector<VmEntry> vms);

  void Replace(Time now, std::vector<VmEntry> vms);
  VmListSnapshot Read(Time now, Duration lag) const;

 private:
  ValueHistory<std::vector<VmEntry>> history_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_STANDIN_VM_LIST_H_
