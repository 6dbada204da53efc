#ifndef PROGRAMS_GCW_STANDIN_GROUP_PASS_H_
#define PROGRAMS_GCW_STANDIN_GROUP_PASS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "programs/gcw_standin/platform_engine.h"
#include "programs/gcw_standin/standin_server.h"

namespace gcw {

// The forward passes of a group whose members are processes of their own. The
// first member calls each of the others at every pass, so that a member that is
// stopped or gone holds the whole group up.
class GroupPass {
 public:
  GroupPass(StandinServer& server, Duration interval);

  // Calls the members of the group; `addresses` are those of all endpoints. A
  // member without an address does not answer.
  void Begin(const std::vector<VmId>& members,
             const GroupId& group,
             std::map<VmId, Address> addresses);
  void End();

  // Returns whether all members keep up with the passes.
  bool IsWhole() const;

 private:
  struct Member {
    // The call that has not been answered yet was sent at this time.
    std::optional<Time> called;
    bool answered = false;
  };

  void CallMembers(Time now);
  void Call(Time now, const VmId& vm, const Address& address);

  StandinServer& server_;
  const Duration interval_;
  HttpClient client_;
  GroupId group_;
  std::map<VmId, Member> members_;
  std::map<VmId, Address> addresses_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_GROUP_PASS_H_
