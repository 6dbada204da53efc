#include "protocol/engine_status_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

constexpr ChoiceNames<EngineState, 5> kStates{{
    {EngineState::kIdle, "idle"},
    {EngineState::kLoading, "loading"},
    {EngineState::kReady, "ready"},
    {EngineState::kDraining, "draining"},
    {EngineState::kFailed, "failed"},
}};

std::vector<VmId> ReadVms(JsonReader& reader, std::string_view name) {
  std::vector<VmId> vms;
  for (std::string& id : reader.Strings(name)) {
    vms.emplace_back(std::move(id));
  }
  return vms;
}

}  // namespace

std::string EncodeEngineStatus(const EngineStatus& status) {
  return boost::json::serialize(
      boost::json::object{{"vm", ToJson(status.vm)},
                          {"incarnation", ToJson(status.incarnation)},
                          {"group", ToJson(status.group)},
                          {"model", ToJson(status.model)},
                          {"generation", ToJson(status.generation)},
                          {"rank", status.rank},
                          {"state", ChoiceToJson(status.state, kStates)},
                          {"fence", ToJson(status.fence)},
                          {"members_seen", ListToJson(status.members_seen)},
                          {"active", status.active}});
}

Decoded<EngineStatus> DecodeEngineStatus(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    EngineStatus status;
    status.vm = reader.TextId<VmId>("vm");
    status.incarnation = reader.CountOf<Incarnation>("incarnation");
    status.group = reader.TextId<GroupId>("group");
    status.model = reader.TextId<ModelId>("model");
    status.generation = reader.CountOf<Generation>("generation");
    status.rank = reader.Count("rank");
    status.state = reader.Enum("state", kStates);
    status.fence = reader.CountOf<FencingToken>("fence");
    status.members_seen = ReadVms(reader, "members_seen");
    status.active = reader.Count("active");
    return status;
  });
}

std::string_view EngineStateName(EngineState state) {
  return kStates[static_cast<std::size_t>(state)].second;
}

}  // namespace gcw
