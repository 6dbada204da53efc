#include "programs/gcw_standin/platform_shell.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/json.hpp>

namespace gcw {
namespace {

constexpr Duration kTick = Duration::Millis(20);
// The platform removes a registration after three missed heartbeats.
constexpr Duration kLapse = Duration::Millis(3600);
constexpr int kOk = 200;
constexpr int kNotFound = 404;

bool IsWrite(const HttpRequest& request) {
  return PathOf(request.target) == kStoreChangePath;
}

}  // namespace

PlatformShell::PlatformShell(StandinServer& server,
                             PlatformShellSettings settings)
    : server_(server), settings_(std::move(settings)), store_(settings_.store) {
  Write(std::string(kConfigurationKey), EncodeStandinConfiguration(choices_));
  for (int d = 0; d < settings_.domains; ++d) {
    for (int v = 0; v < settings_.vms_per_domain; ++v) {
      VmRegistration self;
      self.id = VmId("vm-" + std::to_string(d) + "-" + std::to_string(v));
      self.service = ServiceId("llm");
      self.zone = ZoneId("zone-1");
      self.domain = FabricDomainId("domain-" + std::to_string(d));
      self.places = StandinEngineProfile().batch_limit;
      AddEngine(self, StandinEngineProfile());
    }
  }
  for (int p = 0; p < settings_.plain_processes; ++p) {
    VmRegistration self;
    self.id = VmId("desk-" + std::to_string(p));
    self.service = ServiceId("desk");
    self.zone = ZoneId("zone-1");
    self.places = 6;
    AddEngine(self, std::nullopt);
  }
  server_.Every(kTick, [this](Time now) { Deliver(store_.Tick(now)); });
}

void PlatformShell::AddEngine(const VmRegistration& self,
                              std::optional<EngineProfile> engine) {
  PlatformEngine::Settings settings;
  settings.self = self;
  settings.engine = std::move(engine);
  settings.time_scale = settings_.time_scale;
  auto made = std::make_unique<PlatformEngine>(
      server_, std::move(settings),
      [this](const PlatformEngine& head) { return IsWhole(head); },
      [this](const PlatformEngine& changed) { Register(changed); });
  PlatformEngine& added = *made;
  engines_[self.id] = std::move(made);
  if (!added.Listen(settings_.ip)) {
    engines_.erase(self.id);
  }
}

StandinServer::Hooks PlatformShell::MakeHooks() {
  StandinServer::Hooks hooks;
  hooks.handle = [this](Time now, const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
    Handle(now, request, responder);
  };
  // The faults `refuse` and `crash_on` do not apply to the test interface.
  hooks.is_work = [](const HttpRequest& request) {
    return !request.target.starts_with("/standin/");
  };
  hooks.is_write = IsWrite;
  return hooks;
}

void PlatformShell::Handle(Time now,
                           const HttpRequest& request,
                           const std::shared_ptr<HttpResponder>& responder) {
  const std::optional<StoreCall> call = DecodePlatformStoreCall(request);
  if (!call) {
    HandleTest(request, *responder);
    return;
  }
  const Ticket ticket = ++last_ticket_;
  responder->OnCallerGone([this, ticket] {
    store_.Forget(ticket);
    waiting_.erase(ticket);
  });
  waiting_[ticket] = {*call, responder};
  Deliver(store_.OnCall(now, ticket, *call));
}

void PlatformShell::HandleTest(const HttpRequest& request,
                               HttpResponder& responder) {
  const std::string path = PathOf(request.target);
  if (path == "/standin/kill") {
    const VmId vm(QueryValue(request.target, "vm"));
    const auto found = engines_.find(vm);
    if (found != engines_.end()) {
      found->second->Kill();
      server_.After(kLapse, [this, vm](Time) { Remove(vm); });
      responder.Respond({kOk, {}, {}});
      return;
    }
  }
  if (path == "/standin/configure") {
    Configure(request);
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
  responder.Respond({kNotFound, {}, {}});
}

void PlatformShell::Configure(const HttpRequest& request) {
  ++choices_.version;
  const std::string key = QueryValue(request.target, "key");
  if (!key.empty()) {
    choices_.key = key;
  }
  const std::string bytes = QueryValue(request.target, "max_body_bytes");
  std::from_chars(bytes.data(), bytes.data() + bytes.size(),
                  choices_.max_body_bytes);
  Write(std::string(kConfigurationKey), EncodeStandinConfiguration(choices_));
}

void PlatformShell::Deliver(const std::vector<StoreAnswer>& answers) {
  for (const StoreAnswer& answer : answers) {
    const auto found = waiting_.find(answer.ticket);
    if (found == waiting_.end()) {
      continue;
    }
    const Waiting waiting = std::move(found->second);
    waiting_.erase(found);
    waiting.responder->Respond(
        EncodePlatformStoreReply(waiting.call, answer.reply));
  }
}

void PlatformShell::Register(const PlatformEngine& engine) {
  Write(std::string(kVmPrefix) + engine.self().id.value(),
        EncodeRegistrationEntry(engine.self()));
}

void PlatformShell::Write(const std::string& key, const std::string& value) {
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

void PlatformShell::Remove(const VmId& vm) {
  const std::string key = std::string(kVmPrefix) + vm.value();
  Deliver(store_.OnCall(server_.now(), ++last_ticket_,
                        StoreDelete{key, revisions_[key]}));
  revisions_.erase(key);
}

bool PlatformShell::IsWhole(const PlatformEngine& head) const {
  return std::all_of(
      head.members().begin(), head.members().end(), [&](const VmId& member) {
        const auto found = engines_.find(member);
        return found != engines_.end() && found->second->alive() &&
               found->second->self().membership &&
               found->second->self().membership->group ==
                   head.self().membership->group;
      });
}

}  // namespace gcw
