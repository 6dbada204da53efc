#include "protocol/limit_wire.h"

#include <utility>

namespace gcw {

namespace {

void Put(const LimitVector& vector, wire::LimitVector* out) {
  out->set_requests(vector[LimitResource::kRequests]);
  out->set_tokens(vector[LimitResource::kTokens]);
  out->set_concurrency(vector[LimitResource::kConcurrency]);
}

LimitVector Get(const wire::LimitVector& in, WireFieldChecker& checker) {
  return {checker.NonNegative(in.requests(), "amount.requests"),
          checker.NonNegative(in.tokens(), "amount.tokens"),
          checker.NonNegative(in.concurrency(), "amount.concurrency")};
}

void Put(const LimitEcho& echo, wire::LimitEcho* out) {
  out->set_granter(echo.granter.value());
  out->set_granted_at(echo.granted_at.millis());
}

LimitEcho Get(const wire::LimitEcho& in, WireFieldChecker& checker) {
  return {checker.CountOf<Incarnation>(in.granter(), "echo.granter"),
          checker.TimeMillis(in.granted_at(), "echo.granted_at")};
}

wire::LimitReporter ToWireReporter(LimitReporter reporter) {
  return reporter == LimitReporter::kNode ? wire::LIMIT_REPORTER_NODE
                                          : wire::LIMIT_REPORTER_RELAY;
}

LimitReporter FromWireReporter(wire::LimitReporter reporter,
                               WireFieldChecker& checker) {
  switch (reporter) {
    case wire::LIMIT_REPORTER_NODE:
      return LimitReporter::kNode;
    case wire::LIMIT_REPORTER_RELAY:
      return LimitReporter::kRelay;
    default:
      checker.Fail(PeerCodecErrorKind::kUnknownName, "reporter");
      return LimitReporter::kNode;
  }
}

void Put(const LimitReport& report, wire::LimitReport* out) {
  out->set_sender(report.sender.node.value());
  out->set_sender_incarnation(report.sender.incarnation.value());
  out->set_kind(ToWireReporter(report.kind));
  out->set_shard(report.shard.value());
  out->set_sequence(report.sequence.value());
  out->set_sent_at(report.sent_at.millis());
  out->set_applied(report.applied_sequence.value());
  if (report.echo) {
    Put(*report.echo, out->mutable_echo());
  }
  for (const NodeId& node : report.ceding_nodes) {
    out->add_ceding(node.value());
  }
  out->set_ceded_for_ms(report.cession_duration.millis());
  out->set_weight(report.weight);
  for (const LimitDemand& demand : report.demands) {
    wire::LimitDemand* const added = out->add_demands();
    added->set_contract(demand.contract.value());
    Put(demand.demand, added->mutable_demand());
    added->set_running(demand.running);
  }
}

LimitReport Get(const wire::LimitReport& in, WireFieldChecker& checker) {
  LimitReport report;
  report.sender = {
      checker.RequiredId<NodeId>(in.sender(), "report.sender"),
      checker.CountOf<Incarnation>(in.sender_incarnation(), "report.sender")};
  report.kind = FromWireReporter(in.kind(), checker);
  report.shard = checker.CountOf<LimitShard>(in.shard(), "report.shard");
  report.sequence =
      checker.CountOf<LimitSequence>(in.sequence(), "report.sequence");
  report.sent_at = checker.TimeMillis(in.sent_at(), "report.sent_at");
  report.applied_sequence =
      checker.CountOf<LimitSequence>(in.applied(), "report.applied");
  if (in.has_echo()) {
    report.echo = Get(in.echo(), checker);
  }
  for (const std::string& node : in.ceding()) {
    report.ceding_nodes.push_back(
        checker.RequiredId<NodeId>(node, "report.ceding"));
  }
  report.cession_duration =
      checker.DurationMillis(in.ceded_for_ms(), "report.ceded_for_ms");
  report.weight = checker.Count(in.weight(), "report.weight");
  for (const wire::LimitDemand& demand : in.demands()) {
    report.demands.push_back(
        {checker.RequiredId<ContractId>(demand.contract(), "demand.contract"),
         Get(demand.demand(), checker),
         checker.NonNegative(demand.running(), "demand.running")});
  }
  return report;
}

void Put(const LimitGrants& grants, wire::LimitGrants* out) {
  out->set_shard(grants.shard.value());
  out->set_sequence(grants.sequence.value());
  out->set_receiver_kind(ToWireReporter(grants.receiver_kind));
  out->set_receiver(grants.receiver.value());
  out->set_fence(grants.fence.value());
  Put(grants.echo, out->mutable_echo());
  out->set_report_sent_at(grants.report_sent_at.millis());
  out->set_lifetime_ms(grants.lifetime.millis());
  for (const LimitGrant& grant : grants.grants) {
    wire::LimitGrant* const added = out->add_grants();
    added->set_contract(grant.contract.value());
    Put(grant.amount, added->mutable_amount());
  }
}

LimitGrants Get(const wire::LimitGrants& in, WireFieldChecker& checker) {
  LimitGrants grants;
  grants.shard = checker.CountOf<LimitShard>(in.shard(), "grants.shard");
  grants.sequence =
      checker.CountOf<LimitSequence>(in.sequence(), "grants.sequence");
  grants.receiver_kind = FromWireReporter(in.receiver_kind(), checker);
  grants.receiver =
      checker.CountOf<Incarnation>(in.receiver(), "grants.receiver");
  grants.fence = checker.CountOf<FencingToken>(in.fence(), "grants.fence");
  grants.echo = Get(in.echo(), checker);
  grants.report_sent_at =
      checker.TimeMillis(in.report_sent_at(), "grants.report_sent_at");
  grants.lifetime =
      checker.DurationMillis(in.lifetime_ms(), "grants.lifetime_ms");
  for (const wire::LimitGrant& grant : in.grants()) {
    grants.grants.push_back(
        {checker.RequiredId<ContractId>(grant.contract(), "grant.contract"),
         Get(grant.amount(), checker)});
  }
  return grants;
}

}  // namespace

wire::PeerBody ToWire(const LimitBatch& message) {
  wire::PeerBody body;
  wire::LimitBatch* const out = body.mutable_limit_batch();
  for (const LimitReport& report : message.reports) {
    Put(report, out->add_reports());
  }
  for (const LimitGrants& grants : message.grants) {
    Put(grants, out->add_grants());
  }
  return body;
}

std::optional<LimitBatch> LimitFromWire(const wire::PeerBody& body,
                                        WireFieldChecker& checker) {
  if (!body.has_limit_batch()) {
    return std::nullopt;
  }
  LimitBatch batch;
  for (const wire::LimitReport& report : body.limit_batch().reports()) {
    batch.reports.push_back(Get(report, checker));
  }
  for (const wire::LimitGrants& grants : body.limit_batch().grants()) {
    batch.grants.push_back(Get(grants, checker));
  }
  return batch;
}

}  // namespace gcw
