#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "platform/platform.h"
#include "platform/registration_entry.h"
#include "platform/wire_names.h"

namespace gcw {
namespace {

using boost::json::object;

const Time kNow = Time::FromMillis(1000000);

object SoundRegistration() {
  return {{"backend", "b1"},
          {"address", "10.0.0.1:80"},
          {"zone", "z"},
          {"lifecycle", "ready"},
          {"batch_slots", 6},
          {"born", 1700000000000},
          {"warmup_left_ms", 12.5},
          {"domain", "d"}};
}

std::string SoundConfiguration(int version) {
  return boost::json::serialize(object{
      {"version", version},
      {"routes", boost::json::array{object{{"name", "r"},
                                           {"hostname", "h"},
                                           {"prefix", "/"},
                                           {"route_type", "safe"},
                                           {"timeout_ms", 1000},
                                           {"backend", "b1"}}}},
      {"backends",
       boost::json::array{object{{"name", "b1"}, {"max_connections", 5}}}}});
}

std::string Nested(int depth) {
  return std::string(static_cast<std::size_t>(depth), '[') +
         std::string(static_cast<std::size_t>(depth), ']');
}

// Returns the text of a value that another writer may have left.
std::string DrawOddValue() {
  return *rc::gen::oneOf(
      rc::gen::elementOf(std::vector<std::string>{"",
                                                  "null",
                                                  "{}",
                                                  "[]",
                                                  "\"\"",
                                                  "true",
                                                  "-1",
                                                  "1e400",
                                                  "-1e308",
                                                  "1e308",
                                                  "9223372036854775808",
                                                  "18446744073709551616",
                                                  "9007199254740993",
                                                  "1000000000000000",
                                                  "0.5",
                                                  "70000",
                                                  "\"10.0.0.1\"",
                                                  "\"10.0.0.1:0\"",
                                                  "\"10.0.0.1:70000\"",
                                                  "\"10.0.0.1:-1\"",
                                                  "\":80\"",
                                                  "\"somewhere:80\"",
                                                  "\"\xff\xfe\"",
                                                  "\"\\ud800\""}),
      rc::gen::map(rc::gen::inRange(2, 400), Nested),
      rc::gen::map(rc::gen::inRange(1, 5000), [](int size) {
        return '"' + std::string(static_cast<std::size_t>(size), 'x') + '"';
      }));
}

// Returns an entry that is odd as a whole, or in one of its fields.
std::string DrawOddEntry(const object& sound) {
  std::string value = DrawOddValue();
  if (*rc::gen::inRange(0, 4) == 0) {
    return value;
  }
  std::vector<std::string> fields;
  for (const auto& field : sound) {
    fields.emplace_back(field.key());
  }
  const std::string odd = *rc::gen::elementOf(fields);
  std::string text = "{";
  for (const auto& field : sound) {
    text += (text.size() > 1 ? ",\"" : "\"") + std::string(field.key()) +
            "\":" + (odd == field.key() ? value : serialize(field.value()));
  }
  text += "}";
  return *rc::gen::inRange(0, 4) == 0 ? text.substr(0, text.size() / 2) : text;
}

class View {
 public:
  View() { Put(std::string(kConfigurationKey), SoundConfiguration(1)); }
  void Put(const std::string& key, const std::string& value) {
    view_.OnPut(kNow, {key, value, Revision(++revision_), LeaseId()});
  }
  void PutVm(const std::string& vm, const std::string& value) {
    Put(std::string(kVmPrefix) + vm, value);
  }
  const FleetView& view() const { return view_; }

 private:
  FleetView view_{MakePlatformFleetCodec(), DiscardEvents()};
  std::int64_t revision_ = 0;
};

// Guards against one odd entry that hides the others, or that counts although
// its numbers make no sense.
RC_GTEST_PROP(OddEntriesProperty, SoundRegistrationsStayBesideOddOnes, ()) {
  View fleet;
  const std::string sound = boost::json::serialize(SoundRegistration());
  fleet.PutVm("before", sound);
  const int count = *rc::gen::inRange(1, 6);
  std::vector<std::string> odd;
  for (int i = 0; i < count; ++i) {
    odd.push_back(*rc::gen::element(std::string("odd"), std::string("\xff"),
                                    std::string(), std::string(300, 'k')) +
                  std::to_string(i));
    fleet.PutVm(odd.back(), DrawOddEntry(SoundRegistration()));
  }
  fleet.PutVm("after", sound);
  RC_ASSERT(fleet.view().FindVm(VmId("before")) != nullptr);
  RC_ASSERT(fleet.view().FindVm(VmId("after")) != nullptr);
  for (const auto& [id, vm] : fleet.view().vms()) {
    RC_ASSERT(vm.slots <= 65536);
    RC_ASSERT(ParseAddress(vm.address).has_value());
    RC_ASSERT(IsValidUtf8(id.value()));
    RC_ASSERT(IsOk(DecodeFleetOverview(EncodeFleetOverview({{vm}, {}}))));
  }
  const std::size_t skipped = 2 + odd.size() - fleet.view().vms().size();
  RC_ASSERT(fleet.view().unreadable_entries() == skipped);
  for (const std::string& vm : odd) {
    fleet.PutVm(vm, sound);
  }
  // Names that are no text stay unreadable.
  for (const std::string& vm : odd) {
    const bool is_valid = IsValidUtf8(vm) && vm.size() <= 256;
    RC_ASSERT((fleet.view().FindVm(VmId(vm)) != nullptr) == is_valid);
  }
}

// Guards against odd entries under other prefixes that end the node or replace
// what is in force.
RC_GTEST_PROP(OddEntriesProperty,
              OddEntriesOfAnyPrefixLeaveTheRestInForce,
              ()) {
  View fleet;
  fleet.PutVm("vm", boost::json::serialize(SoundRegistration()));
  const auto prefixes =
      std::vector<std::string>{std::string(kConfigurationKey),
                               std::string(kOverviewKey),
                               std::string(kNodePrefix) + "n",
                               std::string(kRolePrefix) + "r",
                               std::string(kEvacuationPrefix) + "\xff",
                               "unknown/",
                               ""};
  for (int i = 0; i < 4; ++i) {
    fleet.Put(
        *rc::gen::elementOf(prefixes),
        DrawOddEntry(object{{"version", 2}, {"routes", boost::json::array()}}));
  }
  RC_ASSERT(fleet.view().routes() != nullptr);
  RC_ASSERT(fleet.view().FindVm(VmId("vm")) != nullptr);
  fleet.Put(std::string(kConfigurationKey), SoundConfiguration(3));
  RC_ASSERT(fleet.view().routes()->configuration().version ==
            ConfigurationVersion(3));
}

// Guards against an entry of the key-value service that makes its whole answer
// unreadable.
RC_GTEST_PROP(OddEntriesProperty, AnswersOfTheStoreKeepTheirSoundEntries, ()) {
  const std::string sound = R"({"key":"a","revision":3,"value":"eA=="})";
  const std::string odd = DrawOddEntry(
      object{{"key", "b"}, {"revision", 4}, {"value", "eQ=="}, {"lease", 7}});
  const HttpResponse range{
      200, {}, R"({"current_rev":9,"items":[)" + sound + "," + odd + "]}"};
  boost::json::error_code error;
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::json::parse(range.body, error, {}, options);
  // The store itself writes JSON, and values of others only within strings.
  RC_PRE(!error);
  const StoreReply range_reply = ReadStoreReply(StoreRange{}, range);
  const auto* entries = std::get_if<StoreRangeReply>(&range_reply);
  RC_ASSERT(std::holds_alternative<StoreRangeReply>(range_reply));
  RC_ASSERT(!entries->entries.empty());
  RC_ASSERT(entries->entries.front().value == "x");
  const HttpResponse watch{
      200, {}, R"({"current_rev":9,"events":[)" + odd + "," + sound + "]}"};
  const StoreReply watch_reply = ReadStoreReply(StoreWatch{}, watch);
  const auto* changes = std::get_if<StoreWatchReply>(&watch_reply);
  RC_ASSERT(std::holds_alternative<StoreWatchReply>(watch_reply));
  RC_ASSERT(!changes->changed.empty());
  RC_ASSERT(changes->changed.back().value == "x");
}

}  // namespace
}  // namespace gcw
