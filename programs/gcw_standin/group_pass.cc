#include "programs/gcw_standin/group_pass.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

constexpr int kOk = 200;
// Longer than any pause of a test, so that a stopped member answers the call
// that waits for it.
constexpr Duration kCallTimeout = Duration::Seconds(60);

}  // namespace

GroupPass::GroupPass(StandinServer& server, Duration interval)
    : server_(server), interval_(interval), client_(server.context()) {
  server_.RunEvery(interval_, [this](Time now) { CallMembers(now); });
}

void GroupPass::Begin(const std::vector<VmId>& members,
                      const GroupId& group,
                      std::map<VmId, Address> addresses) {
  if (group != group_) {
    members_.clear();
  }
  group_ = group;
  for (const VmId& member : members) {
    members_.try_emplace(member);
  }
  addresses_ = std::move(addresses);
}

void GroupPass::End() {
  group_ = GroupId();
  members_.clear();
}

bool GroupPass::IsWhole() const {
  const Time now = server_.now();
  return std::all_of(
      members_.begin(), members_.end(), [this, now](const auto& entry) {
        const Member& member = entry.second;
        return member.answered &&
               (!member.called || now - *member.called < interval_);
      });
}

void GroupPass::CallMembers(Time now) {
  for (const auto& [vm, member] : members_) {
    const auto address = addresses_.find(vm);
    if (!member.called && address != addresses_.end()) {
      Call(now, vm, address->second);
    }
  }
}

void GroupPass::Call(Time now, const VmId& vm, const Address& address) {
  members_.at(vm).called = now;
  HttpCallOptions options;
  options.progress_timeout = kCallTimeout;
  options.deadline = kCallTimeout;
  client_.Fetch(
      address,
      {"GET",
       std::string(kPassPath) + "?group=" + group_.value(),
       {{std::string(kExpectedVmHeader), vm.value()}},
       {}},
      options,
      [this, vm, group = group_](Result<HttpResponse, HttpFailure> answer) {
        const auto member = members_.find(vm);
        if (group != group_ || member == members_.end()) {
          return;
        }
        member->second.called.reset();
        member->second.answered = IsOk(answer) && ValueOf(answer).status == kOk;
      });
}

}  // namespace gcw
