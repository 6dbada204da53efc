#include "bench/limit_wire_size.h"

namespace gcw::bench {
namespace {

constexpr double kFrameBytes = 60;
// Size of a field's tag and length.
constexpr double kFieldBytes = 2;
constexpr double kAmountBytes = 5;
// Size of the sender, its incarnation, the time of sending and the period for
// which the sender cedes.
constexpr double kBatchBytes = 32;
// Size of the shard, the sequence, the applied sequence and the echo.
constexpr double kReportBytes = 24;
// Size of the shard, the sequence, the fencing token, two times and the
// lifetime.
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
  // Only a relay names the ceding nodes; a node that cedes only for itself is
  // already named as the sender.
  if (report.kind == LimitReporter::kRelay) {
    for (const NodeId& node : report.ceding_nodes) {
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
