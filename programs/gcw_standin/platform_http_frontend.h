#ifndef PROGRAMS_GCW_STANDIN_PLATFORM_HTTP_FRONTEND_H_
#define PROGRAMS_GCW_STANDIN_PLATFORM_HTTP_FRONTEND_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "programs/gcw_standin/platform_documents.h"
#include "programs/gcw_standin/platform_engine.h"
#include "programs/gcw_standin/standin_server.h"
#include "programs/gcw_standin/standin_store.h"

namespace gcw {

struct PlatformHttpFrontendSettings {
  StandinStore::Settings store;
  std::string ip = "127.0.0.1";
  int domains = 1;
  int vms_per_domain = 11;
  int plain_processes = 2;
  double time_scale = 0.05;
};

// Simulates the users' platform on loopback: its store, the endpoints that
// register there, and an operator who writes the configuration document. It
// does not simulate rate limits by kind of call, stale reads, other documents
// or addresses that are reused. Injected faults apply to the store, not to the
// endpoints.
//
// `POST /standin/register?vm=ID` with an entry as its body registers an
// endpoint that runs in a process of its own, until it has not been repeated
// for 3.6 s; the answer lists the addresses of all endpoints that are
// registered so. `POST /standin/kill?vm=ID` stops an endpoint without notice.
// `POST /standin/configure?max_body_bytes=N` or `?key=KEY` writes the next
// version of the document. `GET /standin/runs` returns how many requests each
// endpoint has started. `POST /standin/limit?vm=ID&per_s=N` makes an endpoint
// name a limit in its answers, or none without `per_s`, and `GET
// /standin/limits` returns how well the limits were kept. `POST
// /standin/cooldown?vm=ID&ms=N` makes an endpoint refuse requests and ask for
// that cooldown, or accept them without `ms`; `POST /standin/leaving?vm=ID`
// makes its answers say that it is about to stop. `GET /standin/arrivals`
// returns how many requests reached each endpoint, and `GET
// /standin/arrival_log` the time, in milliseconds, and the attempt id of each
// of them. `POST /standin/reject_on` makes all endpoints reject requests, and
// `POST /standin/reject_off` ends that. `POST /standin/crash_on?body=TEXT` or
// `?part=ID` makes every endpoint that begins to run a request with that body,
// or with that part among those of its prompt that others share, crash; `POST
// /standin/crash_off` ends that for all, and `GET /standin/crashes` returns how
// many have; another endpoint under another id takes the place of each after a
// second.
class PlatformHttpFrontend {
 public:
  PlatformHttpFrontend(StandinServer& server,
                       PlatformHttpFrontendSettings settings);

  StandinServer::Hooks MakeHooks();

 private:
  void Handle(Time now,
              const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void HandleTestRequest(const HttpRequest& request, HttpResponder& responder);
  void Deliver(const std::vector<StoreAnswer>& answers);
  void AddEngine(const VmRegistration& registration,
                 std::optional<EngineProfile> engine);
  void Register(const PlatformEngine& engine);
  // Returns the status of the answer.
  int RegisterRemote(const HttpRequest& request);
  void RemoveExpiredRemotes(Time now);
  std::string DescribeRemoteAddresses() const;
  void Remove(const VmId& vm);
  void WriteNextConfiguration(const HttpRequest& request);
  // Returns the status of the answer.
  int SetLimit(const HttpRequest& request);
  int SetCooldown(const HttpRequest& request);
  int AnnounceEnd(const HttpRequest& request);
  void SetRejects(bool rejects);
  std::string DescribeArrivalLog() const;
  void OnCrash(const VmRegistration& crashed);
  bool MustCrash(const HttpRequest& request) const;
  // Returns null if the request names no endpoint.
  PlatformEngine* FindEngine(const HttpRequest& request);
  std::string DescribeLimits() const;
  void Write(const std::string& key, const std::string& value);
  bool HasAllMembers(const PlatformEngine& first_member) const;

  StandinServer& server_;
  PlatformHttpFrontendSettings settings_;
  StandinStore store_;
  StandinConfigurationOptions options_;
  Ticket last_ticket_;
  struct PendingCall {
    StoreCall call;
    std::shared_ptr<HttpResponder> responder;
  };
  std::map<Ticket, PendingCall> pending_calls_;
  std::map<VmId, std::unique_ptr<PlatformEngine>> engines_;
  // An endpoint that runs in a process of its own.
  struct RemoteEndpoint {
    std::string entry;
    std::string address;
    Time last_heard;
  };
  std::map<VmId, RemoteEndpoint> remote_endpoints_;
  struct Arrival {
    Time time;
    std::string attempt;
  };
  std::vector<Arrival> arrival_log_;
  bool rejects_ = false;
  // Bodies of requests that crash endpoints.
  std::set<std::string> crashing_bodies_;
  std::set<std::string> crashing_parts_;
  std::int64_t crashes_ = 0;
  std::map<std::string, Revision> revisions_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_PLATFORM_HTTP_FRONTEND_H_
