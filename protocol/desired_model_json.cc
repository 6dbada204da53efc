#include "protocol/desired_model_json.h"

#include <utility>

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

std::pair<ZoneId, GroupTarget> ReadTarget(JsonReader& reader) {
  GroupTarget target;
  const ZoneId zone = reader.TextId<ZoneId>("zone");
  target.min_groups = reader.Count("wanted");
  target.max_groups =
      reader.Has("most") ? reader.Count("most") : target.min_groups;
  if (target.max_groups < target.min_groups) {
    reader.Fail(CodecErrorKind::kOutOfRange, "most");
  }
  return {zone, target};
}

}  // namespace

std::string EncodeDesiredModel(const DesiredModel& model) {
  boost::json::array targets;
  for (const auto& [zone, target] : model.targets) {
    targets.emplace_back(boost::json::object{{"zone", ToJson(zone)},
                                             {"wanted", target.min_groups},
                                             {"most", target.max_groups}});
  }
  return boost::json::serialize(
      boost::json::object{{"model", ToJson(model.model)},
                          {"vms_per_group", model.vms_per_group},
                          {"rank", ToJson(model.rank)},
                          {"targets", targets}});
}

Decoded<DesiredModel> DecodeDesiredModel(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    DesiredModel model;
    model.model = reader.TextId<ModelId>("model");
    model.vms_per_group = reader.Count("vms_per_group");
    model.rank = reader.CountOf<Rank>("rank");
    if (model.model.empty()) {
      reader.Fail(CodecErrorKind::kOutOfRange, "model");
    }
    if (model.vms_per_group < 1) {
      reader.Fail(CodecErrorKind::kOutOfRange, "vms_per_group");
    }
    for (auto& [zone, target] : reader.List("targets", ReadTarget)) {
      if (!model.targets.emplace(std::move(zone), target).second) {
        reader.Fail(CodecErrorKind::kOutOfRange, "targets.zone");
      }
    }
    return model;
  });
}

}  // namespace gcw
