#ifndef PROGRAMS_GCW_STANDIN_VM_LIST_HTTP_FRONTEND_H_
#define PROGRAMS_GCW_STANDIN_VM_LIST_HTTP_FRONTEND_H_

#include <memory>
#include <vector>

#include "programs/gcw_standin/standin_server.h"
#include "programs/gcw_standin/standin_vm_list.h"

namespace gcw {

// Serves a `StandinVmList` over HTTP. Tests replace the list with `PUT /vms`.
class VmListHttpFrontend {
 public:
  VmListHttpFrontend(StandinServer& server, std::vector<VmEntry> vms);

  StandinServer::Hooks MakeHooks();

 private:
  void Handle(Time now, const HttpRequest& request, HttpResponder& responder);
  void Replace(Time now, const HttpRequest& request, HttpResponder& responder);

  StandinServer& server_;
  StandinVmList list_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_VM_LIST_HTTP_FRONTEND_H_
