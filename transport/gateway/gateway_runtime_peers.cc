// Messages between the nodes of a gateway.

#include <algorithm>
#include <charconv>
#include <utility>

#include "protocol/protocol.h"
#include "transport/gateway/gateway_runtime.h"
#include "transport/http_error.h"
#include "transport/json_log.h"
#include "transport/query_string.h"
#include "transport/refusal_http.h"

namespace gcw {
namespace {

constexpr std::string_view kMirrorPath = "/v1/mirror";
constexpr std::string_view kChangesPath = "/v1/changes";
constexpr std::string_view kStallPath = "/v1/standstill";
constexpr std::string_view kProgressPath = "/v1/progress";
constexpr std::string_view kLimitPath = "/v1/endpoint_limit";
constexpr std::string_view kCrashPath = "/v1/crash_notice";
constexpr std::string_view kRunLockClaimPath = "/v1/run_lock/claim";
constexpr std::string_view kRunLockReleasePath = "/v1/run_lock/release";
constexpr std::string_view kReachPath = "/v1/reach";
constexpr std::string_view kBlocksPath = "/v1/blocks";
constexpr std::string_view kEvacuationsPath = "/v1/evacuations";
constexpr std::string_view kExplainPath = "/v1/route/explain";
constexpr std::string_view kBlockLiftPath = "/v1/blocks/lift";
constexpr std::string_view kFingerprintParameter = "fingerprint";
constexpr std::string_view kNewerThanParameter = "newer_than";
constexpr std::string_view kWaitParameter = "wait_ms";
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

// The longest time for which a long poll of another node is held, whatever wait
// it asks for.
constexpr Duration kMaxChangesWait = Duration::Seconds(5);

// Returns the integer query parameter `name`, or 0 if it is absent or is not a
// number.
std::int64_t IntegerParameter(const std::string& target,
                              std::string_view name) {
  std::int64_t number = 0;
  const std::string text = QueryValue(target, name);
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

void GatewayRuntime::ServePeer(
    HttpRequest request,
    const std::shared_ptr<HttpResponder>& responder) {
  if (!request.Header(kRelayHeader).empty()) {
    ServeRelayed(std::move(request), responder);
    return;
  }
  const std::string_view target = request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == kMirrorPath) {
    ServeMirror(request, *responder);
    return;
  }
  if (path == kChangesPath) {
    ServeChanges(request, responder);
    return;
  }
  if (path == kLimitPath) {
    ServeLimitNotice(request, *responder);
    return;
  }
  if (path == kCrashPath) {
    ServeCrashNotices(request, *responder);
    return;
  }
  if (path == kRunLockClaimPath) {
    ServeRunLockClaim(request, responder);
    return;
  }
  if (path == kRunLockReleasePath) {
    ServeRunLockRelease(request, *responder);
    return;
  }
  if (path == kReachPath) {
    ServeReachQuery(*responder);
    return;
  }
  if (path == kBlocksPath) {
    ServeBlocks(*responder);
    return;
  }
  if (path == kEvacuationsPath) {
    ServeEvacuations(*responder);
    return;
  }
  if (path == kExplainPath) {
    ServeRouteExplanation(request, *responder);
    return;
  }
  if (path == kBlockLiftPath && request.method == "POST") {
    ServeBlockLift(request, *responder);
    return;
  }
  if (path != kStallPath && path != kProgressPath) {
    responder->Respond({kNotFound, {}, {}});
    return;
  }
  const auto notice = DecodeStallNotice(request.body);
  if (!IsOk(notice)) {
    LogEvent(LogSeverity::kWarning, "peer_message_malformed",
             {{"field", ErrorOf(notice).field}});
    responder->Respond({kBadRequest, {}, {}});
    return;
  }
  if (path == kStallPath) {
    ServeStallNotice(ValueOf(notice), *responder);
  } else {
    ServeProgressQuery(ValueOf(notice), *responder);
  }
}

void GatewayRuntime::ServeMirror(const HttpRequest& request,
                                 HttpResponder& responder) {
  const auto snapshot = parts_.core->Snapshot(
      Revision(IntegerParameter(request.target, kNewerThanParameter)));
  if (!snapshot) {
    responder.Respond({kNoContent, {}, {}});
    return;
  }
  responder.Respond({kOk,
                     {{"Content-Type", "application/json"}},
                     EncodeMirrorSnapshot(*snapshot)});
}

void GatewayRuntime::ServeChanges(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  const ChangesRequest changes_request{
      ++last_change_request_id_,
      Revision(IntegerParameter(request.target, kNewerThanParameter)),
      std::min(
          Duration::Millis(IntegerParameter(request.target, kWaitParameter)),
          kMaxChangesWait)};
  pending_change_requests_[changes_request.id] = responder;
  Execute(parts_.core->OnChangesRequest(Now(), changes_request));
}

void GatewayRuntime::ServeStallNotice(const StallNotice& notice,
                                      HttpResponder& responder) {
  responder.Respond({kNoContent, {}, {}});
  Execute(parts_.core->OnStallNotice(Now(), notice));
}

void GatewayRuntime::ServeProgressQuery(const StallNotice& group,
                                        HttpResponder& responder) {
  const auto age = parts_.core->ProgressAge(Now(), group);
  if (!age) {
    responder.Respond({kNoContent, {}, {}});
    return;
  }
  responder.Respond(
      {kOk, {{"Content-Type", "application/json"}}, EncodeProgressAge(*age)});
}

void GatewayRuntime::ServeLimitNotice(const HttpRequest& request,
                                      HttpResponder& responder) {
  const auto notice = DecodeLimitNotice(request.body);
  if (!IsOk(notice)) {
    LogEvent(LogSeverity::kWarning, "peer_message_malformed",
             {{"field", ErrorOf(notice).field}});
    responder.Respond({kBadRequest, {}, {}});
    return;
  }
  responder.Respond({kNoContent, {}, {}});
  Execute(parts_.core->OnLimitNotice(Now(), ValueOf(notice)));
}

void GatewayRuntime::ServeCrashNotices(const HttpRequest& request,
                                       HttpResponder& responder) {
  const auto notices = DecodeCrashNotices(request.body);
  if (!IsOk(notices)) {
    LogEvent(LogSeverity::kWarning, "peer_message_malformed",
             {{"field", ErrorOf(notices).field}});
    responder.Respond({kBadRequest, {}, {}});
    return;
  }
  responder.Respond({kNoContent, {}, {}});
  Execute(parts_.core->OnCrashNotices(Now(), ValueOf(notices)));
}

void GatewayRuntime::ServeRunLockClaim(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  auto claim = DecodeRunLockClaim(request.body);
  if (!IsOk(claim)) {
    LogEvent(LogSeverity::kWarning, "peer_message_malformed",
             {{"field", ErrorOf(claim).field}});
    responder->Respond({kBadRequest, {}, {}});
    return;
  }
  ++last_run_lock_claim_id_;
  ValueOf(claim).id = last_run_lock_claim_id_;
  pending_run_lock_claims_[last_run_lock_claim_id_] = responder;
  Execute(parts_.core->OnRunLockClaim(Now(), ValueOf(claim)));
}

void GatewayRuntime::ServeRunLockRelease(const HttpRequest& request,
                                         HttpResponder& responder) {
  const auto release = DecodeRunLockRelease(request.body);
  if (!IsOk(release)) {
    LogEvent(LogSeverity::kWarning, "peer_message_malformed",
             {{"field", ErrorOf(release).field}});
    responder.Respond({kBadRequest, {}, {}});
    return;
  }
  responder.Respond({kNoContent, {}, {}});
  Execute(parts_.core->OnRunLockRelease(Now(), ValueOf(release)));
}

void GatewayRuntime::ServeRelayed(
    HttpRequest request,
    const std::shared_ptr<HttpResponder>& responder) {
  auto terms = DecodeRelayTerms(request.Header(kRelayHeader));
  if (!IsOk(terms)) {
    LogEvent(LogSeverity::kWarning, "peer_message_malformed",
             {{"field", ErrorOf(terms).field}});
    responder->Respond({kBadRequest, {}, {}});
    return;
  }
  RemoveRelayHeaders(request.headers);
  Forward(std::move(request), std::move(ValueOf(terms)), responder);
}

void GatewayRuntime::ServeReachQuery(HttpResponder& responder) {
  responder.Respond({kOk,
                     {{"Content-Type", "application/json"}},
                     EncodeReachReport(parts_.core->Reach(Now()))});
}

void GatewayRuntime::ServeBlocks(HttpResponder& responder) {
  responder.Respond({kOk,
                     {{"Content-Type", "application/json"}},
                     EncodeCrashBlocks(parts_.core->CrashBlocks(Now()))});
}

void GatewayRuntime::ServeEvacuations(HttpResponder& responder) {
  responder.Respond({kOk,
                     {{"Content-Type", "application/json"}},
                     EncodeZoneEvacuations(parts_.core->Evacuations(Now()))});
}

void GatewayRuntime::ServeRouteExplanation(const HttpRequest& request,
                                           HttpResponder& responder) {
  const std::string& target = request.target;
  RouteQuery query;
  query.host = QueryValue(target, "host");
  query.path = ExtractPath(QueryValue(target, "path"));
  query.model = ModelId(QueryValue(target, "model"));
  query.customer = CustomerId(QueryValue(target, "customer"));
  query.service = ServiceId(QueryValue(target, "service"));
  query.prompt_tokens = TokenCount(
      std::max<std::int64_t>(0, IntegerParameter(target, "prompt_tokens")));
  if (query.host.empty() || query.path.empty()) {
    responder.Respond(MakeErrorResponse(kBadRequest, "invalid_request",
                                        "Name a host and a path."));
    return;
  }
  const RouteExplanation explanation = parts_.core->ExplainRoute(Now(), query);
  if (explanation.refusal == RefusalKind::kNotReady) {
    responder.Respond(MakeErrorResponse(
        RefusalStatus(*explanation.refusal),
        RefusalKindName(*explanation.refusal),
        "The node has no configuration yet. Ask again in a second."));
    return;
  }
  responder.Respond({kOk,
                     {{"Content-Type", "application/json"}},
                     EncodeRouteExplanation(explanation)});
}

void GatewayRuntime::ServeBlockLift(const HttpRequest& request,
                                    HttpResponder& responder) {
  const Fingerprint fingerprint(
      IntegerParameter(request.target, kFingerprintParameter));
  if (!parts_.core->LiftCrashBlock(Now(), fingerprint)) {
    responder.Respond(MakeErrorResponse(
        kNotFound, "unknown_fingerprint",
        "No endpoint is known to have crashed under this request."));
    return;
  }
  responder.Respond({kOk, {{"Content-Type", "application/json"}}, "{}"});
  Execute(parts_.core->TakeRequestActions(Now()));
}

void GatewayRuntime::Execute(const RequestNodeSnapshot& action) {
  HttpRequest request{"GET",
                      std::string(kMirrorPath) + "?" +
                          std::string(kNewerThanParameter) + "=" +
                          std::to_string(action.newer_than.value()),
                      {},
                      {}};
  peer_client_.Fetch(
      action.address, std::move(request),
      OptionsWithTimeout(settings_.peer_timeout),
      [this](const Result<HttpResponse, HttpFailure>& answer) {
        if (!IsOk(answer) || ValueOf(answer).status != kOk) {
          return;
        }
        const auto snapshot = DecodeMirrorSnapshot(ValueOf(answer).body);
        if (!IsOk(snapshot)) {
          LogEvent(LogSeverity::kWarning, "peer_message_malformed",
                   {{"field", ErrorOf(snapshot).field}});
          return;
        }
        Execute(parts_.core->OnSnapshot(Now(), ValueOf(snapshot)));
      });
}

void GatewayRuntime::Execute(const RequestNodeChanges& action) {
  HttpRequest request{"GET",
                      std::string(kChangesPath) + "?" +
                          std::string(kNewerThanParameter) + "=" +
                          std::to_string(action.after.value()) + "&" +
                          std::string(kWaitParameter) + "=" +
                          std::to_string(action.wait.millis()),
                      {},
                      {}};
  peer_client_.Fetch(
      action.address, std::move(request),
      OptionsWithTimeout(action.wait + action.timeout),
      [this, action](const Result<HttpResponse, HttpFailure>& answer) {
        std::optional<MirrorChanges> changes;
        if (!IsOk(answer)) {
          // Other idle connections may be dead too.
          peer_client_.CloseIdleConnections(action.address);
        } else if (ValueOf(answer).status == kOk) {
          auto decoded = DecodeMirrorChanges(ValueOf(answer).body);
          if (IsOk(decoded)) {
            changes = std::move(ValueOf(decoded));
          } else {
            LogEvent(LogSeverity::kWarning, "peer_message_malformed",
                     {{"field", ErrorOf(decoded).field}});
          }
        }
        Execute(parts_.core->OnChangesReply(Now(), action.id, changes));
      });
}

void GatewayRuntime::Execute(const ChangesReply& action) {
  const auto changes_request = pending_change_requests_.find(action.id);
  if (changes_request == pending_change_requests_.end()) {
    return;
  }
  const std::shared_ptr<HttpResponder> responder = changes_request->second;
  pending_change_requests_.erase(changes_request);
  if (!action.changes) {
    responder->Respond({kNoContent, {}, {}});
    return;
  }
  responder->Respond({kOk,
                      {{"Content-Type", "application/json"}},
                      EncodeMirrorChanges(*action.changes)});
}

void GatewayRuntime::Execute(const NotifyNode& action) {
  HttpRequest request{"POST",
                      std::string(kStallPath),
                      {{"Content-Type", "application/json"}},
                      EncodeStallNotice(action.notice)};
  // A lost notice costs only time, because each node also detects stalled
  // groups by itself.
  peer_client_.Fetch(action.address, std::move(request),
                     OptionsWithTimeout(settings_.peer_timeout),
                     [](const Result<HttpResponse, HttpFailure>&) {});
}

void GatewayRuntime::Execute(const NotifyLimit& action) {
  HttpRequest request{"POST",
                      std::string(kLimitPath),
                      {{"Content-Type", "application/json"}},
                      EncodeLimitNotice(action.notice)};
  // Several nodes pass each notice on, and a node that misses all of them tries
  // out the limit after a while.
  peer_client_.Fetch(action.address, std::move(request),
                     OptionsWithTimeout(settings_.peer_timeout),
                     [](const Result<HttpResponse, HttpFailure>&) {});
}

void GatewayRuntime::Execute(const NotifyCrashes& action) {
  HttpRequest request{"POST",
                      std::string(kCrashPath),
                      {{"Content-Type", "application/json"}},
                      EncodeCrashNotices(action.notices)};
  // Several nodes pass each notice on, and the key-value service tells the
  // nodes that miss all of them.
  peer_client_.Fetch(action.address, std::move(request),
                     OptionsWithTimeout(settings_.peer_timeout),
                     [](const Result<HttpResponse, HttpFailure>&) {});
}

void GatewayRuntime::Execute(const ClaimRunLock& action) {
  HttpRequest request{"POST",
                      std::string(kRunLockClaimPath),
                      {{"Content-Type", "application/json"}},
                      EncodeRunLockClaim(action.claim)};
  peer_client_.Fetch(
      action.owner, std::move(request),
      OptionsWithTimeout(action.claim.wait + settings_.peer_timeout),
      [this,
       claim = action.claim](const Result<HttpResponse, HttpFailure>& answer) {
        RunLockReply reply;
        if (IsOk(answer) && ValueOf(answer).status == kOk) {
          auto decoded = DecodeRunLockReply(ValueOf(answer).body);
          if (IsOk(decoded)) {
            reply = std::move(ValueOf(decoded));
          } else {
            LogEvent(LogSeverity::kWarning, "peer_message_malformed",
                     {{"field", ErrorOf(decoded).field}});
          }
        }
        Execute(parts_.core->OnRunLockReply(Now(), claim, reply));
      });
}

void GatewayRuntime::Execute(const ReleaseRunLock& action) {
  HttpRequest request{"POST",
                      std::string(kRunLockReleasePath),
                      {{"Content-Type", "application/json"}},
                      EncodeRunLockRelease(action.release)};
  // A lock that was not released expires.
  peer_client_.Fetch(action.owner, std::move(request),
                     OptionsWithTimeout(settings_.peer_timeout),
                     [](const Result<HttpResponse, HttpFailure>&) {});
}

void GatewayRuntime::Execute(const AnswerRunLockClaim& action) {
  const auto claim = pending_run_lock_claims_.find(action.id);
  if (claim == pending_run_lock_claims_.end()) {
    return;
  }
  const std::shared_ptr<HttpResponder> responder = claim->second;
  pending_run_lock_claims_.erase(claim);
  responder->Respond({kOk,
                      {{"Content-Type", "application/json"}},
                      EncodeRunLockReply(action.reply)});
}

void GatewayRuntime::Execute(const QueryReach& action) {
  peer_client_.Fetch(
      action.address, {"GET", std::string(kReachPath), {}, {}},
      OptionsWithTimeout(settings_.peer_timeout),
      [this,
       node = action.address](const Result<HttpResponse, HttpFailure>& answer) {
        if (!IsOk(answer) || ValueOf(answer).status != kOk) {
          return;
        }
        const auto report = DecodeReachReport(ValueOf(answer).body);
        if (!IsOk(report)) {
          LogEvent(LogSeverity::kWarning, "peer_message_malformed",
                   {{"field", ErrorOf(report).field}});
          return;
        }
        Execute(parts_.core->OnReachReport(Now(), node, ValueOf(report)));
      });
}

void GatewayRuntime::Execute(const RequestGroupProgress& action) {
  HttpRequest request{"POST",
                      std::string(kProgressPath),
                      {{"Content-Type", "application/json"}},
                      EncodeStallNotice(action.group)};
  peer_client_.Fetch(
      action.address, std::move(request),
      OptionsWithTimeout(settings_.peer_timeout),
      [this,
       group = action.group](const Result<HttpResponse, HttpFailure>& answer) {
        if (!IsOk(answer) || ValueOf(answer).status != kOk) {
          return;
        }
        const auto age = DecodeProgressAge(ValueOf(answer).body);
        if (!IsOk(age)) {
          LogEvent(LogSeverity::kWarning, "peer_message_malformed",
                   {{"field", ErrorOf(age).field}});
          return;
        }
        Execute(parts_.core->OnProgressReply(Now(), group, ValueOf(age)));
      });
}

}  // namespace gcw
