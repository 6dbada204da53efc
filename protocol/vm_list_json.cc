#include "protocol/vm_list_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

constexpr ChoiceNames<VmState, 2> kStates{{
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}};

constexpr ChoiceNames<VmPurpose, 2> kPurposes{{
    {VmPurpose::kModelEngine, "model_engine"},
    {VmPurpose::kPlainService, "plain_service"},
}};

boost::json::object VmToJson(const VmEntry& vm) {
  return {{"id", ToJson(vm.id)},
          {"state", ChoiceToJson(vm.state, kStates)},
          {"purpose", ChoiceToJson(vm.purpose, kPurposes)},
          {"domain", ToJson(vm.domain)},
          {"zone", ToJson(vm.zone)},
          {"address", ToJson(vm.address)},
          {"accelerators", vm.accelerators},
          {"service", ToJson(vm.service)}};
}

VmEntry ReadVm(JsonReader& reader) {
  VmEntry vm;
  vm.id = reader.TextId<VmId>("id");
  vm.state = reader.Enum("state", kStates);
  vm.purpose = reader.Enum("purpose", kPurposes);
  vm.domain = reader.TextId<FabricDomainId>("domain");
  vm.zone = reader.TextId<ZoneId>("zone");
  vm.address = reader.TextId<Address>("address");
  vm.accelerators = reader.Count("accelerators");
  if (reader.Has("service")) {
    vm.service = reader.TextId<ServiceId>("service");
  }
  return vm;
}

}  // namespace

std::string EncodeVmList(const VmListSnapshot& snapshot) {
  boost::json::array vms;
  for (const VmEntry& vm : snapshot.vms) {
    vms.push_back(VmToJson(vm));
  }
  return boost::json::serialize(boost::json::object{
      {"as_of_ms", snapshot.as_of.millis()}, {"vms", std::move(vms)}});
}

Decoded<VmListSnapshot> DecodeVmList(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    return VmListSnapshot{.as_of = reader.TimeMillis("as_of_ms"),
                          .vms = reader.List("vms", ReadVm)};
  });
}

}  // namespace gcw
