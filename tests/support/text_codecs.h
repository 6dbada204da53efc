#ifndef TESTS_SUPPORT_TEXT_CODECS_H_
#define TESTS_SUPPORT_TEXT_CODECS_H_

#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "state/state.h"

namespace gcw {

// Codecs for tests below the layer with the real codecs: fields separated by
// bars.
inline std::vector<std::string> SplitFields(std::string_view text) {
  std::vector<std::string> fields;
  std::istringstream in{std::string(text)};
  for (std::string field; std::getline(in, field, '|');) {
    fields.push_back(field);
  }
  return fields;
}

inline NodeRecordCodec TextNodeCodec() {
  return {.encode =
              [](const NodeRecord& r) {
                return r.id.value() + "|" + r.zone.value() + "|" +
                       r.region.value() + "|" + r.caller_address.value() + "|" +
                       r.peer_address.value() + "|" + (r.leaving ? "1" : "0");
              },
          .decode = [](std::string_view text) -> std::optional<NodeRecord> {
            const std::vector<std::string> fields = SplitFields(text);
            if (fields.size() != 6) {
              return std::nullopt;
            }
            return NodeRecord{.id = NodeId(fields[0]),
                              .incarnation = {},
                              .zone = ZoneId(fields[1]),
                              .region = RegionId(fields[2]),
                              .peer_address = Address(fields[4]),
                              .caller_address = Address(fields[3]),
                              .operator_address = {},
                              .weight = 1,
                              .leaving = fields[5] == "1"};
          }};
}

inline ConfigRecordCodec TextConfigCodec() {
  return {.encode =
              [](const ConfigRecord& r) {
                std::string text = (r.value ? "v" + *r.value : "t") + "|" +
                                   r.change.value() + "|";
                for (const ConfigVersion& version : r.history) {
                  text += version.change.value() + "|" +
                          std::to_string(version.revision.value()) + "|";
                }
                return text;
              },
          .decode = [](std::string_view text) -> std::optional<ConfigRecord> {
            const std::vector<std::string> fields = SplitFields(text);
            if (fields.size() < 2 || fields[0].empty()) {
              return std::nullopt;
            }
            ConfigRecord record;
            if (fields[0][0] == 'v') {
              record.value = fields[0].substr(1);
            }
            record.change = ChangeId(fields[1]);
            for (std::size_t i = 2; i + 1 < fields.size(); i += 2) {
              record.history.push_back(
                  {ChangeId(fields[i]), Revision(std::stoll(fields[i + 1]))});
            }
            return record;
          }};
}

}  // namespace gcw

#endif  // TESTS_SUPPORT_TEXT_CODECS_H_
