#include "programs/gcw_load/load_report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <string_view>

#include "protocol/protocol.h"

namespace gcw {
namespace {

constexpr int kNameWidth = 13;
constexpr int kCountWidth = 11;
constexpr int kQuantilesWidth = 25;
constexpr std::array kQuantiles = {0.5, 0.95, 0.99};
constexpr std::array kQuantileNames = {"p50", "p95", "p99"};

constexpr std::array kKeyOutcomes = {
    KeyOutcome::kAnswered, KeyOutcome::kReplayed, KeyOutcome::kRefused,
    KeyOutcome::kUnknown, KeyOutcome::kViolation};

// Formats quantiles as "12.1/15.0/20.7", or "-" if the histogram is empty.
std::string FormatQuantiles(const LatencyHistogram& histogram) {
  if (histogram.count() == 0) {
    return "-";
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  std::string_view separator;
  for (const double quantile : kQuantiles) {
    text << separator << *histogram.Quantile(quantile);
    separator = "/";
  }
  return text.str();
}

bool HasRequests(const KindTally& kind) {
  return kind.sent + kind.skipped > 0;
}

void WriteHeader(std::ostream& out) {
  out << std::left << std::setw(kNameWidth) << "kind" << std::right;
  for (const char* name : {"sent", "answered", "refused", "unknown", "broken",
                           "violations", "skipped"}) {
    out << std::setw(kCountWidth) << name;
  }
  for (const char* name :
       {"first p50/p95/p99 ms", "between p50/p95/p99", "total p50/p95/p99"}) {
    out << std::setw(kQuantilesWidth) << name;
  }
  out << '\n';
}

void WriteRow(std::string_view name, const KindTally& kind, std::ostream& out) {
  out << std::left << std::setw(kNameWidth) << name << std::right;
  for (const std::int64_t count :
       {kind.sent, kind.answered, SumOf(kind.refused), SumOf(kind.unknown),
        SumOf(kind.broken), SumOf(kind.violations), kind.skipped}) {
    out << std::setw(kCountWidth) << count;
  }
  for (const LatencyHistogram* histogram :
       {&kind.first_token, &kind.between_tokens, &kind.total}) {
    out << std::setw(kQuantilesWidth) << FormatQuantiles(*histogram);
  }
  out << '\n';
}

void WriteTypes(std::string_view kind,
                std::string_view outcome,
                const TypeCounts& types,
                std::ostream& out) {
  if (types.empty()) {
    return;
  }
  out << kind << ", " << outcome << ':';
  for (const auto& [type, count] : types) {
    out << ' ' << type << ' ' << count;
  }
  out << '\n';
}

void WriteKeys(const KeyLedger& keys, std::ostream& out) {
  out << "reservation keys:";
  for (const KeyOutcome outcome : kKeyOutcomes) {
    out << ' ' << KeyOutcomeName(outcome) << ' ' << keys.Count(outcome);
  }
  out << '\n';
}

boost::json::object ToJson(const TypeCounts& types) {
  boost::json::object object;
  for (const auto& [type, count] : types) {
    object[type] = count;
  }
  return object;
}

boost::json::object ToJson(const LatencyHistogram& histogram) {
  boost::json::object object{{"count", histogram.count()}};
  if (histogram.count() == 0) {
    return object;
  }
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    object[kQuantileNames[i]] = *histogram.Quantile(kQuantiles[i]);
  }
  object["max"] = *histogram.max_millis();
  return object;
}

boost::json::object ToJson(const KindTally& kind) {
  return {{"sent", kind.sent},
          {"answered", kind.answered},
          {"refused", ToJson(kind.refused)},
          {"unknown", ToJson(kind.unknown)},
          {"broken", ToJson(kind.broken)},
          {"violations", ToJson(kind.violations)},
          {"skipped", kind.skipped},
          {"moved", kind.moved},
          {"resent", kind.resent},
          {"first_token_ms", ToJson(kind.first_token)},
          {"between_tokens_ms", ToJson(kind.between_tokens)},
          {"total_ms", ToJson(kind.total)}};
}

// Returns the kind's name in JSON, such as "paid_stream".
std::string JsonNameOf(RequestKind kind) {
  std::string name(RequestKindName(kind));
  std::replace(name.begin(), name.end(), ' ', '_');
  return name;
}

}  // namespace

void WriteLoadTable(const LoadTally& tally,
                    const KeyLedger& keys,
                    std::ostream& out) {
  WriteHeader(out);
  for (const RequestKind kind : kRequestKinds) {
    if (HasRequests(tally.of(kind))) {
      WriteRow(RequestKindName(kind), tally.of(kind), out);
    }
  }
  for (const RequestKind kind : kRequestKinds) {
    const KindTally& counts = tally.of(kind);
    const std::string_view name = RequestKindName(kind);
    WriteTypes(name, "refused", counts.refused, out);
    WriteTypes(name, "unknown", counts.unknown, out);
    WriteTypes(name, "broken", counts.broken, out);
    WriteTypes(name, "VIOLATIONS", counts.violations, out);
    if (counts.moved + counts.resent > 0) {
      out << name << ": moved to another address " << counts.moved
          << ", resent " << counts.resent << '\n';
    }
  }
  if (HasRequests(tally.of(RequestKind::kReservation))) {
    WriteKeys(keys, out);
  }
  out << "entry lists requested " << tally.entries_asked << ", failed "
      << tally.entries_failed << "; send delay p50/p95/p99 ms "
      << FormatQuantiles(tally.lateness) << "; run time "
      << tally.ran_for.count() / 1000 << " ms\n";
}

std::string EncodeLoadResult(const LoadTally& tally, const KeyLedger& keys) {
  boost::json::object kinds;
  for (const RequestKind kind : kRequestKinds) {
    kinds[JsonNameOf(kind)] = ToJson(tally.of(kind));
  }
  boost::json::object key_counts;
  for (const KeyOutcome outcome : kKeyOutcomes) {
    key_counts[KeyOutcomeName(outcome)] = keys.Count(outcome);
  }
  return boost::json::serialize(
      boost::json::object{{"ran_for_ms", tally.ran_for.count() / 1000},
                          {"kinds", kinds},
                          {"reservation_keys", key_counts},
                          {"entries_asked", tally.entries_asked},
                          {"entries_failed", tally.entries_failed},
                          {"late_ms", ToJson(tally.lateness)},
                          {"violations", tally.violations()}});
}

}  // namespace gcw
