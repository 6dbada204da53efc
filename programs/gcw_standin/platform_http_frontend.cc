#include "programs/gcw_standin/platform_http_frontend.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/json.hpp>

namespace gcw {
namespace {

constexpr Duration kTickInterval = Duration::Millis(20);
// The platform removes a registration after three missed heartbeats.
constexpr Duration kRegistrationTimeout = Duration::Millis(3600);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

bool IsWrite(const HttpRequest& request) {
  return ExtractPath(request.target) == kStoreChangePath;
}

// Whether the part is in the request's prompt and not its last one.
bool SharesPart(const HttpRequest& request, const std::string& part) {
  const std::string parts = "," + request.Header(kPromptPartsHeader);
  const std::size_t found = parts.find("," + part + ":");
  return found != std::string::npos && found < parts.rfind(',');
}

}  // namespace

PlatformHttpFrontend::PlatformHttpFrontend(
    StandinServer& server,
    PlatformHttpFrontendSettings settings)
    : server_(server), settings_(std::move(settings)), store_(settings_.store) {
  Write(std::string(kConfigurationKey), EncodeStandinConfiguration(options_));
  for (int d = 0; d < settings_.domains; ++d) {
    for (int v = 0; v < settings_.vms_per_domain; ++v) {
      VmRegistration registration;
      registration.id =
          VmId("vm-" + std::to_string(d) + "-" + std::to_string(v));
      registration.service = ServiceId("llm");
      registration.zone = ZoneId("zone-1");
      registration.domain = FabricDomainId("domain-" + std::to_string(d));
      registration.slots = StandinEngineProfile().batch_limit;
      AddEngine(registration, StandinEngineProfile());
    }
  }
  for (int p = 0; p < settings_.plain_processes; ++p) {
    VmRegistration registration;
    registration.id = VmId("desk-" + std::to_string(p));
    registration.service = ServiceId("desk");
    registration.zone = ZoneId("zone-1");
    registration.slots = 6;
    AddEngine(registration, std::nullopt);
  }
  server_.RunEvery(kTickInterval, [this](Time now) {
    Deliver(store_.Tick(now));
    RemoveExpiredRemotes(now);
  });
}

void PlatformHttpFrontend::AddEngine(const VmRegistration& registration,
                                     std::optional<EngineProfile> engine) {
  PlatformEngine::Settings settings;
  settings.registration = registration;
  settings.engine = std::move(engine);
  settings.time_scale = settings_.time_scale;
  auto created = std::make_unique<PlatformEngine>(
      server_, std::move(settings),
      [this](const PlatformEngine& first_member) {
        return HasAllMembers(first_member);
      },
      [this](const PlatformEngine& changed) { Register(changed); });
  PlatformEngine& added = *created;
  added.SetCrashes(
      [this](const HttpRequest& request) { return MustCrash(request); },
      [this, registration] { OnCrash(registration); });
  added.SetRejects(rejects_);
  added.SetArrivalCallback([this](const HttpRequest& request) {
    arrival_log_.push_back({server_.now(), request.Header(kAttemptIdHeader)});
  });
  engines_[registration.id] = std::move(created);
  if (!added.Listen(settings_.ip)) {
    engines_.erase(registration.id);
  }
}

StandinServer::Hooks PlatformHttpFrontend::MakeHooks() {
  StandinServer::Hooks hooks;
  hooks.handle = [this](Time now, const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
    Handle(now, request, responder);
  };
  // The faults `refuse` and `crash_on` do not apply to the test interface.
  hooks.is_workload = [](const HttpRequest& request) {
    return !request.target.starts_with("/standin/");
  };
  hooks.is_write = IsWrite;
  return hooks;
}

void PlatformHttpFrontend::Handle(
    Time now,
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  const std::optional<StoreCall> call = DecodePlatformStoreCall(request);
  if (!call) {
    HandleTestRequest(request, *responder);
    return;
  }
  const Ticket ticket = ++last_ticket_;
  responder->OnCallerGone([this, ticket] {
    store_.DropWatch(ticket);
    pending_calls_.erase(ticket);
  });
  pending_calls_[ticket] = {*call, responder};
  Deliver(store_.OnCall(now, ticket, *call));
}

void PlatformHttpFrontend::HandleTestRequest(const HttpRequest& request,
                                             HttpResponder& responder) {
  const std::string path = ExtractPath(request.target);
  if (path == "/standin/kill") {
    const VmId vm(QueryValue(request.target, "vm"));
    const auto found = engines_.find(vm);
    if (found != engines_.end()) {
      found->second->Kill();
      server_.RunAfter(kRegistrationTimeout, [this, vm](Time) { Remove(vm); });
      responder.Respond({kOk, {}, {}});
      return;
    }
  }
  if (path == "/standin/register") {
    const int status = RegisterRemote(request);
    responder.Respond({status, {}, DescribeRemoteAddresses()});
    return;
  }
  if (path == "/standin/configure") {
    WriteNextConfiguration(request);
    responder.Respond({kOk, {}, {}});
    return;
  }
  if (path == "/standin/runs") {
    boost::json::object runs;
    for (const auto& [id, engine] : engines_) {
      runs[id.value()] = engine->runs();
    }
    responder.Respond({kOk, {}, boost::json::serialize(runs)});
    return;
  }
  if (path == "/standin/limit") {
    responder.Respond({SetLimit(request), {}, {}});
    return;
  }
  if (path == "/standin/cooldown") {
    responder.Respond({SetCooldown(request), {}, {}});
    return;
  }
  if (path == "/standin/leaving") {
    responder.Respond({AnnounceEnd(request), {}, {}});
    return;
  }
  if (path == "/standin/arrivals") {
    boost::json::object arrivals;
    for (const auto& [id, engine] : engines_) {
      arrivals[id.value()] = engine->arrivals();
    }
    responder.Respond({kOk, {}, boost::json::serialize(arrivals)});
    return;
  }
  if (path == "/standin/arrival_log") {
    responder.Respond({kOk, {}, DescribeArrivalLog()});
    return;
  }
  if (path == "/standin/reject_on" || path == "/standin/reject_off") {
    SetRejects(path == "/standin/reject_on");
    responder.Respond({kOk, {}, {}});
    return;
  }
  if (path == "/standin/crash_on") {
    const std::string part = QueryValue(request.target, "part");
    if (part.empty()) {
      crashing_bodies_.insert(QueryValue(request.target, "body"));
    } else {
      crashing_parts_.insert(part);
    }
    responder.Respond({kOk, {}, {}});
    return;
  }
  if (path == "/standin/crash_off") {
    crashing_bodies_.clear();
    crashing_parts_.clear();
    responder.Respond({kOk, {}, {}});
    return;
  }
  if (path == "/standin/crashes") {
    responder.Respond(
        {kOk,
         {},
         boost::json::serialize(boost::json::object{{"count", crashes_}})});
    return;
  }
  if (path == "/standin/limits") {
    responder.Respond({kOk, {}, DescribeLimits()});
    return;
  }
  responder.Respond({kNotFound, {}, {}});
}

bool PlatformHttpFrontend::MustCrash(const HttpRequest& request) const {
  return crashing_bodies_.contains(request.body) ||
         std::any_of(crashing_parts_.begin(), crashing_parts_.end(),
                     [&request](const std::string& part) {
                       return SharesPart(request, part);
                     });
}

PlatformEngine* PlatformHttpFrontend::FindEngine(const HttpRequest& request) {
  const auto found = engines_.find(VmId(QueryValue(request.target, "vm")));
  return found == engines_.end() ? nullptr : found->second.get();
}

int PlatformHttpFrontend::SetLimit(const HttpRequest& request) {
  PlatformEngine* engine = FindEngine(request);
  if (engine == nullptr) {
    return kNotFound;
  }
  const std::string text = QueryValue(request.target, "per_s");
  std::optional<RequestRate> limit;
  if (!text.empty()) {
    double per_second = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), per_second);
    if (read.ec != std::errc()) {
      return kBadRequest;
    }
    limit = RequestRate::PerSecond(per_second);
  }
  engine->SetLimit(limit);
  return kOk;
}

int PlatformHttpFrontend::SetCooldown(const HttpRequest& request) {
  PlatformEngine* engine = FindEngine(request);
  if (engine == nullptr) {
    return kNotFound;
  }
  const std::string text = QueryValue(request.target, "ms");
  std::optional<Duration> cooldown;
  if (!text.empty()) {
    std::int64_t millis = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), millis);
    if (read.ec != std::errc()) {
      return kBadRequest;
    }
    cooldown = Duration::Millis(millis);
  }
  engine->SetCooldown(cooldown);
  return kOk;
}

int PlatformHttpFrontend::AnnounceEnd(const HttpRequest& request) {
  PlatformEngine* engine = FindEngine(request);
  if (engine == nullptr) {
    return kNotFound;
  }
  engine->AnnounceEnd();
  return kOk;
}

void PlatformHttpFrontend::SetRejects(bool rejects) {
  rejects_ = rejects;
  for (const auto& [id, engine] : engines_) {
    engine->SetRejects(rejects);
  }
}

std::string PlatformHttpFrontend::DescribeArrivalLog() const {
  boost::json::array log;
  log.reserve(arrival_log_.size());
  for (const Arrival& arrival : arrival_log_) {
    log.push_back(boost::json::array{arrival.time.millis(), arrival.attempt});
  }
  return boost::json::serialize(log);
}

void PlatformHttpFrontend::OnCrash(const VmRegistration& crashed) {
  constexpr Duration kRestartDelay = Duration::Seconds(1);
  ++crashes_;
  server_.RunAfter(kRegistrationTimeout,
                   [this, vm = crashed.id](Time) { Remove(vm); });
  VmRegistration next = crashed;
  next.id = VmId(crashed.id.value() + "-" + std::to_string(crashes_));
  server_.RunAfter(kRestartDelay, [this, next](Time) {
    AddEngine(next, next.domain.empty()
                        ? std::nullopt
                        : std::optional(StandinEngineProfile()));
  });
}

std::string PlatformHttpFrontend::DescribeLimits() const {
  boost::json::object limits;
  for (const auto& [id, engine] : engines_) {
    const LimitMeter& meter = engine->limit_meter();
    if (meter.limit()) {
      limits[id.value()] =
          boost::json::object{{"per_s", meter.limit()->per_second()},
                              {"checked", meter.checked()},
                              {"excess", meter.excess()}};
    }
  }
  return boost::json::serialize(limits);
}

void PlatformHttpFrontend::WriteNextConfiguration(const HttpRequest& request) {
  ++options_.version;
  const std::string key = QueryValue(request.target, "key");
  if (!key.empty()) {
    options_.key = key;
  }
  const std::string bytes = QueryValue(request.target, "max_body_bytes");
  std::from_chars(bytes.data(), bytes.data() + bytes.size(),
                  options_.max_body_bytes);
  Write(std::string(kConfigurationKey), EncodeStandinConfiguration(options_));
}

void PlatformHttpFrontend::Deliver(const std::vector<StoreAnswer>& answers) {
  for (const StoreAnswer& answer : answers) {
    const auto found = pending_calls_.find(answer.ticket);
    if (found == pending_calls_.end()) {
      continue;
    }
    const PendingCall pending = std::move(found->second);
    pending_calls_.erase(found);
    pending.responder->Respond(
        EncodePlatformStoreReply(pending.call, answer.reply));
  }
}

void PlatformHttpFrontend::Register(const PlatformEngine& engine) {
  Write(std::string(kVmPrefix) + engine.registration().id.value(),
        EncodeRegistrationEntry(engine.registration()));
}

int PlatformHttpFrontend::RegisterRemote(const HttpRequest& request) {
  const std::string vm = QueryValue(request.target, "vm");
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(request.body, error);
  if (vm.empty() || error || !value.is_object() ||
      !value.as_object().contains("address")) {
    return kBadRequest;
  }
  RemoteEndpoint& endpoint = remote_endpoints_[VmId(vm)];
  endpoint.last_heard = server_.now();
  endpoint.address = value.as_object().at("address").as_string();
  if (endpoint.entry != request.body) {
    endpoint.entry = request.body;
    Write(std::string(kVmPrefix) + vm, request.body);
  }
  return kOk;
}

void PlatformHttpFrontend::RemoveExpiredRemotes(Time now) {
  std::erase_if(remote_endpoints_, [this, now](const auto& entry) {
    const bool has_expired =
        now - entry.second.last_heard > kRegistrationTimeout;
    if (has_expired) {
      Remove(entry.first);
    }
    return has_expired;
  });
}

std::string PlatformHttpFrontend::DescribeRemoteAddresses() const {
  boost::json::object addresses;
  for (const auto& [vm, endpoint] : remote_endpoints_) {
    addresses[vm.value()] = endpoint.address;
  }
  return boost::json::serialize(addresses);
}

void PlatformHttpFrontend::Write(const std::string& key,
                                 const std::string& value) {
  const StorePut put{key, value, revisions_[key], LeaseId()};
  const Ticket ticket = ++last_ticket_;
  for (const StoreAnswer& answer : store_.OnCall(server_.now(), ticket, put)) {
    if (answer.ticket == ticket) {
      if (const auto* written = std::get_if<StoreWritten>(&answer.reply)) {
        revisions_[key] = written->revision;
      }
    } else {
      Deliver({answer});
    }
  }
}

void PlatformHttpFrontend::Remove(const VmId& vm) {
  const std::string key = std::string(kVmPrefix) + vm.value();
  Deliver(store_.OnCall(server_.now(), ++last_ticket_,
                        StoreDelete{key, revisions_[key]}));
  revisions_.erase(key);
}

bool PlatformHttpFrontend::HasAllMembers(
    const PlatformEngine& first_member) const {
  return std::all_of(first_member.members().begin(),
                     first_member.members().end(), [&](const VmId& member) {
                       const auto found = engines_.find(member);
                       return found != engines_.end() &&
                              found->second->alive() &&
                              found->second->registration().membership &&
                              found->second->registration().membership->group ==
                                  first_member.registration().membership->group;
                     });
}

}  // namespace gcw
