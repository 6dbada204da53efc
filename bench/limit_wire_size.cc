#include "bench/limit_wire_size.h"

namespace gcw::bench {
namespace {

constexpr double kFrameBytes = 60;
// A tag and a length.
constexpr double kFieldBytes = 2;
constexpr double kAmountBytes = 5;
// Sender, its run, time of sending, for how long it cedes.
constexpr double kBatchBytes = 32;
// Shard, sequence, applied, echo.
constexpr double kReportBytes = 24;
// Shard, sequence, fence, two times, lifetime.
constexpr double kGrantsBytes = 34;
constexpr double kAmounts = 3;

double DemandBytes(const LimitDemand& demand) {
  return static_cast<double>(demand.contract.value().size()) + kFieldBytes +
         (kAmounts + 1) * kAmountBytes;
}

double GrantBytes(const LimitGrant& grant) {
  return static_cast<double>(grant.contract.value().size()) + kFieldBytes +
         kAmounts * kAmountBytes;
}

double ReportBytes(const LimitReport& report) {
  double bytes = kReportBytes;
  // A node that cedes for itself alone is the sender.
  if (report.kind == LimitReporter::kRelay) {
    for (const NodeId& node : report.ceding) {
      bytes += static_cast<double>(node.value().size()) + kFieldBytes;
    }
  }
  for (const LimitDemand& demand : report.demands) {
    bytes += DemandBytes(demand);
  }
  return bytes;
}

}  // namespace

double WireBytes(const LimitBatch& batch) {
  double bytes = kFrameBytes + kBatchBytes;
  for (const LimitReport& report : batch.reports) {
    bytes += ReportBytes(report);
  }
  for (const LimitGrants& grants : batch.grants) {
    bytes += kGrantsBytes;
    for (const LimitGrant& grant : grants.grants) {
      bytes += GrantBytes(grant);
    }
  }
  return bytes;
}

}  // namespace gcw::bench
