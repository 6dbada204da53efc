// Probes of VMs whose health is in doubt, and of the load of serving groups.

#include "coordination/gateway/fleet_controller.h"

#include <algorithm>
#include <utility>

#include "coordination/gateway/group_membership.h"

namespace gcw {

void FleetController::SuspectVm(Time now,
                                const VmId& vm,
                                const Address& address) {
  Suspect& suspect = suspects_[vm];
  suspect.address = address;
  // A failure that decides is followed by the time for witnesses, which another
  // probe would start over.
  const bool is_decided =
      suspect.is_unresponsive && !NeedsAnotherProbe(suspect);
  if (!suspect.probe_pending && !is_decided) {
    suspect.next_probe =
        std::max(now, suspect.probed_at + settings_.probe_retry_interval);
  }
}

void FleetController::SuspectMembers(Time now,
                                     const GroupRecord& group,
                                     const GroupStatus& status) {
  for (const VmId& member : group.members) {
    const auto address = status.addresses.find(member);
    if (address != status.addresses.end()) {
      SuspectVm(now, member, address->second);
    }
  }
}

bool FleetController::IsUnresponsive(const VmId& vm) const {
  const auto found = suspects_.find(vm);
  return replaced_vms_.contains(vm) ||
         (found != suspects_.end() && found->second.is_unresponsive);
}

bool FleetController::MayBeAlive(Time now,
                                 const GroupRecord& group,
                                 const VmId& member) const {
  const auto found = suspects_.find(member);
  if (replaced_vms_.contains(member) || found == suspects_.end()) {
    return false;
  }
  const Suspect& suspect = found->second;
  // A paused process accepts connections and answers nothing. Its group
  // continues after the pause, or its engine reports that it broke.
  if (suspect.failure == ProbeResult::kConnected) {
    return true;
  }
  if (NeedsAnotherProbe(suspect) ||
      (now < loss_doubtful_until_ &&
       suspect.failure == ProbeResult::kUnreachable)) {
    return true;
  }
  return now - suspect.failed_at < settings_.witness_time ||
         last_progress_(group.members.front(), group.generation) >=
             suspect.failed_at + settings_.progress_margin;
}

bool FleetController::IsLossDoubtful() const {
  const bool any_unreachable =
      std::any_of(suspects_.begin(), suspects_.end(), [](const auto& suspect) {
        return suspect.second.unreachable_probes > 0;
      });
  if (!any_unreachable) {
    return false;
  }
  std::size_t open_groups = 0;
  std::size_t unreachable_groups = 0;
  for (const auto& [id, domain] : domains_) {
    for (const GroupRecord& group : domain.writer.record().groups) {
      const auto status = domain.group_statuses.find(group.id);
      if (status == domain.group_statuses.end() || !status->second.has_opened ||
          !status->second.end_reason.empty()) {
        continue;
      }
      ++open_groups;
      unreachable_groups += std::any_of(
          group.members.begin(), group.members.end(), [&](const VmId& member) {
            const auto found = suspects_.find(member);
            return found != suspects_.end() &&
                   found->second.unreachable_probes > 0;
          });
    }
  }
  return unreachable_groups > 1 && 2 * unreachable_groups > open_groups;
}

bool FleetController::NeedsAnotherProbe(const Suspect& suspect) const {
  if (!suspect.is_unresponsive) {
    return false;
  }
  switch (suspect.failure) {
    case ProbeResult::kConnected:
      // A process that is ending may still accept a connection.
      return suspect.failed_probes < 2;
    case ProbeResult::kUnreachable:
      return suspect.unreachable_probes < settings_.min_unreachable_probes;
    case ProbeResult::kAnswered:
    case ProbeResult::kWrongVm:
    case ProbeResult::kRefused:
      return false;
  }
  return false;
}

bool FleetController::IsSlow(const VmId& vm) const {
  const auto found = suspects_.find(vm);
  return found != suspects_.end() && found->second.is_slow;
}

bool FleetController::AwaitsProbeVerdict(const VmId& vm) const {
  const auto found = suspects_.find(vm);
  return found != suspects_.end() && !found->second.is_unresponsive &&
         !found->second.is_slow;
}

void FleetController::ProbeSuspects(Time now, const FleetView& view) {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    if (view.FindVm(it->first) == nullptr) {
      it = suspects_.erase(it);
      continue;
    }
    Suspect& suspect = it->second;
    if (!suspect.probe_pending && now >= suspect.next_probe) {
      suspect.probe_pending = true;
      suspect.probed_at = now;
      actions_.emplace_back(ProbeEngine{.vm = it->first,
                                        .address = suspect.address,
                                        .timeout = settings_.probe_timeout,
                                        .reuse_connection = false});
    }
    ++it;
  }
}

const VmRegistration* FleetController::FindServingHead(const FleetView& view,
                                                       const Domain& domain,
                                                       const ModelId& model) {
  const auto& groups = domain.writer.record().groups;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    const GroupRecord& group = groups[(demand_probe_turn_ + i) % groups.size()];
    const VmRegistration* head = view.FindVm(group.members.front());
    if (group.model == model && head != nullptr && IsOpen(view, group) &&
        !view.IsEvacuated(*head) && !suspects_.contains(head->id) &&
        accepts_load_probe_(head->id)) {
      return head;
    }
  }
  return nullptr;
}

void FleetController::ProbeDemand(Time now, const FleetView& view) {
  if (!load_pacer_.has_traffic() || now < next_demand_probe_ ||
      domains_.empty()) {
    return;
  }
  next_demand_probe_ = now + settings_.demand_probe_interval;
  for (std::size_t tried = 0; tried < settings_.max_searched_domains; ++tried) {
    ++demand_probe_turn_;
    auto domain = domains_.begin();
    std::advance(domain, demand_probe_turn_ % domains_.size());
    const ServiceRule* service =
        view.routes()->FindService(domain->second.service);
    if (service == nullptr || !service->engine ||
        service->engine->models.size() < 2) {
      continue;
    }
    const auto& models = service->engine->models;
    // All domains have their turn before the next model does.
    const ModelId& model =
        models[demand_probe_turn_ / domains_.size() % models.size()].model;
    const VmRegistration* head = FindServingHead(view, domain->second, model);
    if (head != nullptr) {
      pending_demand_probes_[head->id] = {model, view.routes(), service};
      actions_.emplace_back(ProbeEngine{.vm = head->id,
                                        .address = head->address,
                                        .timeout = settings_.probe_timeout,
                                        .reuse_connection = true});
      return;
    }
  }
}

void FleetController::OnProbeReply(Time now,
                                   const VmId& vm,
                                   const ProbeReport& report) {
  const bool answered = report.result == ProbeResult::kAnswered;
  const auto asked = pending_demand_probes_.find(vm);
  const bool was_load_probe = asked != pending_demand_probes_.end();
  if (was_load_probe) {
    const DemandProbe probe = std::move(asked->second);
    pending_demand_probes_.erase(asked);
    if (answered) {
      RecordDemand(now, probe, report.requests);
    }
  }
  const auto found = suspects_.find(vm);
  // A load probe that failed was sent before the VM's health was in doubt, or
  // together with the probe that decides.
  if (found == suspects_.end() || (was_load_probe && !answered)) {
    return;
  }
  ScheduleReview(vm);
  if (answered && report.slowdown < settings_.slowdown_threshold) {
    suspects_.erase(found);
    return;
  }
  Suspect& suspect = found->second;
  suspect.probe_pending = false;
  if (!answered) {
    RecordFailedProbe(vm, suspect, report.result);
  } else {
    if (!suspect.is_slow) {
      ReportQuarantine(vm, report);
    }
    suspect.is_unresponsive = false;
    suspect.is_slow = true;
    suspect.failed_probes = 0;
    suspect.unreachable_probes = 0;
  }
  suspect.next_probe =
      NeedsAnotherProbe(suspect)
          ? std::max(now, suspect.probed_at + settings_.probe_retry_interval)
          : now + settings_.probe_interval;
}

void FleetController::RecordDemand(Time now,
                                   const DemandProbe& probe,
                                   std::int64_t requests) {
  const EngineProfile& engine = *probe.service->engine;
  const auto reported = static_cast<double>(requests);
  if (ranked_services_.contains(probe.service->id)) {
    capacity_demand_.OnGroupLoad(
        now, engine, probe.model, reported,
        CountServingGroups(probe.service->id, probe.model));
    return;
  }
  model_demand_.OnUtilization(
      now, probe.model, reported / static_cast<double>(engine.batch_limit));
}

std::size_t FleetController::CountServingGroups(const ServiceId& service,
                                                const ModelId& model) const {
  std::size_t count = 0;
  for (const auto& [id, domain] : domains_) {
    if (domain.service == service) {
      const auto& groups = domain.snapshot.serving_groups;
      count += static_cast<std::size_t>(std::count_if(
          groups.begin(), groups.end(),
          [&](const ServingGroup& group) { return group.model == model; }));
    }
  }
  return count;
}

void FleetController::RecordFailedProbe(const VmId& vm,
                                        Suspect& suspect,
                                        ProbeResult failure) {
  if (!suspect.is_unresponsive || suspect.failure != failure) {
    ReportQuarantine(vm, {failure, 1});
  }
  suspect.failed_at = suspect.probed_at;
  suspect.failure = failure;
  ++suspect.failed_probes;
  suspect.unreachable_probes =
      failure == ProbeResult::kUnreachable ? suspect.unreachable_probes + 1 : 0;
  suspect.is_unresponsive = true;
  suspect.is_slow = false;
}

void FleetController::ReportQuarantine(const VmId& vm,
                                       const ProbeReport& report) {
  events_({EventKind::kVmQuarantined,
           vm.value(),
           {},
           {{"probe", std::string(ProbeResultName(report.result))},
            {"pace", report.slowdown}}});
}

}  // namespace gcw
