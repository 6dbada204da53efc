#include "protocol/relay_json.h"

#include <utility>

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"
#include "protocol/urgency_names.h"

namespace gcw {
namespace {

template <typename Id>
std::vector<Id> ReadIds(JsonReader& reader, std::string_view name) {
  std::vector<std::string> texts = reader.Strings(name);
  std::vector<Id> ids;
  ids.reserve(texts.size());
  for (std::string& text : texts) {
    ids.emplace_back(std::move(text));
  }
  return ids;
}

}  // namespace

std::string EncodeReachReport(const ReachReport& report) {
  boost::json::array services;
  for (const ServiceReach& reach : report.services) {
    services.push_back(
        boost::json::object{{"service", ToJson(reach.service)},
                            {"model", ToJson(reach.model)},
                            {"usable", reach.usable},
                            {"contact_age_ms", reach.contact_age.millis()}});
  }
  return boost::json::serialize(
      boost::json::object{{"accepts_relays", report.accepts_relays},
                          {"open_requests", report.open_requests},
                          {"services", std::move(services)},
                          {"relays", ListToJson(report.relays)}});
}

Decoded<ReachReport> DecodeReachReport(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    ReachReport report;
    report.accepts_relays = reader.Bool("accepts_relays");
    report.open_requests = reader.Count("open_requests");
    report.services = reader.List("services", [](JsonReader& item) {
      ServiceReach reach;
      reach.service = item.TextId<ServiceId>("service");
      reach.model = item.TextId<ModelId>("model");
      reach.usable = item.Count("usable");
      reach.contact_age = item.DurationMillis("contact_age_ms");
      return reach;
    });
    report.relays = ReadIds<Address>(reader, "relays");
    return report;
  });
}

std::string EncodeRelayTerms(const RelayTerms& terms) {
  boost::json::object encoded{{"max_runs", terms.max_runs},
                              {"age_ms", terms.age.millis()},
                              {"excluded", ListToJson(terms.excluded)}};
  if (terms.urgency) {
    encoded["urgency"] = ChoiceToJson(*terms.urgency, kUrgencyNames);
  }
  return boost::json::serialize(encoded);
}

Decoded<RelayTerms> DecodeRelayTerms(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    RelayTerms terms;
    terms.max_runs = reader.Count("max_runs");
    terms.age = reader.DurationMillis("age_ms");
    terms.excluded = ReadIds<VmId>(reader, "excluded");
    if (reader.IsPresent("urgency")) {
      terms.urgency = reader.Enum("urgency", kUrgencyNames);
    }
    return terms;
  });
}

}  // namespace gcw
