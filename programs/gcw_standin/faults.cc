#include "programs/gcw_standin/faults.h"

namespace gcw {
namespace {

constexpr std::string_view kValue = "value";

struct FaultSetter {
  std::string_view name;
  void (*set)(JsonReader& reader, Faults& faults);
};

constexpr FaultSetter kSetters[] = {
    {"refuse", [](JsonReader& reader,
                  Faults& faults) { faults.refuse = reader.Bool(kValue); }},
    {"outage", [](JsonReader& reader,
                  Faults& faults) { faults.outage = reader.Bool(kValue); }},
    {"slow_ms",
     [](JsonReader& reader, Faults& faults) {
       faults.request_delay = reader.DurationMillis(kValue);
     }},
    {"lose_answer",
     [](JsonReader& reader, Faults& faults) {
       faults.lose_answer = reader.Count(kValue);
     }},
    {"silent", [](JsonReader& reader,
                  Faults& faults) { faults.silent = reader.Bool(kValue); }},
    {"silence_open",
     [](JsonReader& reader, Faults& faults) {
       faults.silenced_epoch += reader.Bool(kValue) ? 1 : 0;
     }},
    {"crash_on",
     [](JsonReader& reader, Faults& faults) {
       faults.crash_on = reader.String(kValue);
     }},
    {"cut_stream_after",
     [](JsonReader& reader, Faults& faults) {
       faults.cut_stream_after = reader.Count(kValue);
     }},
    {"lag_ms",
     [](JsonReader& reader, Faults& faults) {
       faults.lag = reader.DurationMillis(kValue);
     }},
    {"ignore_fence",
     [](JsonReader& reader, Faults& faults) {
       faults.ignore_fence = reader.Bool(kValue);
     }},
    {"cache_gap",
     [](JsonReader& reader, Faults& faults) {
       faults.cache_gaps += reader.Bool(kValue) ? 1 : 0;
     }},
};

}  // namespace

Decoded<Faults> ApplyFault(const Faults& faults, std::string_view text) {
  return DecodeJson(text, [&](JsonReader& reader) {
    Faults changed = faults;
    const std::string name = reader.String("name");
    for (const FaultSetter& setter : kSetters) {
      if (setter.name == name) {
        setter.set(reader, changed);
        return changed;
      }
    }
    reader.Fail(CodecErrorKind::kUnknownName, "name");
    return changed;
  });
}

std::string EncodeFaults(const Faults& faults) {
  return boost::json::serialize(
      boost::json::object{{"refuse", faults.refuse},
                          {"outage", faults.outage},
                          {"slow_ms", ToJson(faults.request_delay)},
                          {"lose_answer", faults.lose_answer},
                          {"silent", faults.silent},
                          {"crash_on", faults.crash_on},
                          {"cut_stream_after", faults.cut_stream_after},
                          {"lag_ms", ToJson(faults.lag)},
                          {"ignore_fence", faults.ignore_fence}});
}

}  // namespace gcw
