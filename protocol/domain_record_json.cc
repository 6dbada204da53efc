#include "protocol/domain_record_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

constexpr ChoiceNames<GroupState, 3> kStates{{
    {GroupState::kLoading, "loading"},
    {GroupState::kServing, "serving"},
    {GroupState::kDraining, "draining"},
}};

boost::json::object GroupToJson(const GroupRecord& group) {
  return {{"id", ToJson(group.id)},
          {"model", ToJson(group.model)},
          {"generation", ToJson(group.generation)},
          {"state", ChoiceToJson(group.state, kStates)},
          {"members", ListToJson(group.members)}};
}

boost::json::object LeavingToJson(const LeavingMember& member) {
  return {{"vm", ToJson(member.vm)},
          {"group", ToJson(member.group)},
          {"generation", ToJson(member.generation)}};
}

GroupRecord ReadGroup(JsonReader& reader) {
  GroupRecord group;
  group.id = reader.TextId<GroupId>("id");
  group.model = reader.TextId<ModelId>("model");
  group.generation = reader.CountOf<Generation>("generation");
  group.state = reader.Enum("state", kStates);
  for (std::string& vm : reader.Strings("members")) {
    group.members.emplace_back(std::move(vm));
  }
  return group;
}

LeavingMember ReadLeaving(JsonReader& reader) {
  return {.vm = reader.TextId<VmId>("vm"),
          .group = reader.TextId<GroupId>("group"),
          .generation = reader.CountOf<Generation>("generation")};
}

}  // namespace

std::string EncodeDomainRecord(const DomainRecord& record) {
  boost::json::array groups;
  for (const GroupRecord& group : record.groups) {
    groups.push_back(GroupToJson(group));
  }
  boost::json::array leaving;
  for (const LeavingMember& member : record.leaving) {
    leaving.push_back(LeavingToJson(member));
  }
  return boost::json::serialize(
      boost::json::object{{"domain", ToJson(record.domain)},
                          {"groups", std::move(groups)},
                          {"leaving", std::move(leaving)},
                          {"written_by", ToJson(record.writer_token)},
                          {"change", ToJson(record.change)}});
}

Decoded<DomainRecord> DecodeDomainRecord(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    DomainRecord record;
    record.domain = reader.TextId<FabricDomainId>("domain");
    record.groups = reader.List("groups", ReadGroup);
    record.leaving = reader.List("leaving", ReadLeaving);
    record.writer_token = reader.CountOf<FencingToken>("written_by");
    record.change = reader.TextId<ChangeId>("change");
    return record;
  });
}

}  // namespace gcw
