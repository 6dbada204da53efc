// Messages between the nodes of a gateway.

#include <algorithm>
#include <charconv>
#include <utility>

#include "protocol/protocol.h"
#include "transport/gateway/gateway_runtime.h"
#include "transport/json_log.h"
#include "transport/query_string.h"

namespace gcw {
namespace {

constexpr std::string_view kMirrorPath = "/v1/mirror";
constexpr std::string_view kChangesPath = "/v1/changes";
constexpr std::string_view kStandstillPath = "/v1/standstill";
constexpr std::string_view kProgressPath = "/v1/progress";
constexpr std::string_view kNewerThan = "newer_than";
constexpr std::string_view kWaitMillis = "wait_ms";
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

// The longest time for which a long poll of another node is held, whatever wait
// it asks for.
constexpr Duration kLongestQuestion = Duration::Seconds(5);

// Returns the integer query parameter `name`, or 0 if it is absent or is not a
// number.
std::int64_t NumberIn(const std::string& target, std::string_view name) {
  std::int64_t number = 0;
  const std::string text = QueryValue(target, name);
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

void GatewayRuntime::ServePeer(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
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
  if (path != kStandstillPath && path != kProgressPath) {
    responder->Respond({kNotFound, {}, {}});
    return;
  }
  const auto notice = DecodeStandstillNotice(request.body);
  if (!IsOk(notice)) {
    LogEvent(LogSeverity::kWarning, "peer_message_malformed",
             {{"field", ErrorOf(notice).field}});
    responder->Respond({kBadRequest, {}, {}});
    return;
  }
  if (path == kStandstillPath) {
    ServeStandstill(ValueOf(notice), *responder);
  } else {
    ServeProgress(ValueOf(notice), *responder);
  }
}

void GatewayRuntime::ServeMirror(const HttpRequest& request,
                                 HttpResponder& responder) {
  const auto snapshot =
      parts_.core->Snapshot(Revision(NumberIn(request.target, kNewerThan)));
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
  const ChangeQuestion question{
      ++last_question_, Revision(NumberIn(request.target, kNewerThan)),
      std::min(Duration::Millis(NumberIn(request.target, kWaitMillis)),
               kLongestQuestion)};
  questions_[question.id] = responder;
  Execute(parts_.core->OnChangesAsked(Now(), question));
}

void GatewayRuntime::ServeStandstill(const StandstillNotice& notice,
                                     HttpResponder& responder) {
  responder.Respond({kNoContent, {}, {}});
  Execute(parts_.core->OnNotice(Now(), notice));
}

void GatewayRuntime::ServeProgress(const StandstillNotice& group,
                                   HttpResponder& responder) {
  const auto age = parts_.core->ProgressAge(Now(), group);
  if (!age) {
    responder.Respond({kNoContent, {}, {}});
    return;
  }
  responder.Respond(
      {kOk, {{"Content-Type", "application/json"}}, EncodeProgressAge(*age)});
}

void GatewayRuntime::Execute(const AskNodeSnapshot& action) {
  HttpRequest request{"GET",
                      std::string(kMirrorPath) + "?" + std::string(kNewerThan) +
                          "=" + std::to_string(action.newer_than.value()),
                      {},
                      {}};
  peers_.Fetch(
      action.address, std::move(request), Within(settings_.peer_timeout),
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

void GatewayRuntime::Execute(const AskNodeChanges& action) {
  HttpRequest request{
      "GET",
      std::string(kChangesPath) + "?" + std::string(kNewerThan) + "=" +
          std::to_string(action.after.value()) + "&" +
          std::string(kWaitMillis) + "=" + std::to_string(action.wait.millis()),
      {},
      {}};
  peers_.Fetch(
      action.address, std::move(request), Within(action.wait + action.timeout),
      [this, action](const Result<HttpResponse, HttpFailure>& answer) {
        std::optional<MirrorChanges> changes;
        if (!IsOk(answer)) {
          // Other idle connections may be dead too.
          peers_.ForgetConnections(action.address);
        } else if (ValueOf(answer).status == kOk) {
          auto decoded = DecodeMirrorChanges(ValueOf(answer).body);
          if (IsOk(decoded)) {
            changes = std::move(ValueOf(decoded));
          } else {
            LogEvent(LogSeverity::kWarning, "peer_message_malformed",
                     {{"field", ErrorOf(decoded).field}});
          }
        }
        Execute(parts_.core->OnChangesHeard(Now(), action.id, changes));
      });
}

void GatewayRuntime::Execute(const AnswerChanges& action) {
  const auto question = questions_.find(action.id);
  if (question == questions_.end()) {
    return;
  }
  const std::shared_ptr<HttpResponder> responder = question->second;
  questions_.erase(question);
  if (!action.changes) {
    responder->Respond({kNoContent, {}, {}});
    return;
  }
  responder->Respond({kOk,
                      {{"Content-Type", "application/json"}},
                      EncodeMirrorChanges(*action.changes)});
}

void GatewayRuntime::Execute(const TellNode& action) {
  HttpRequest request{"POST",
                      std::string(kStandstillPath),
                      {{"Content-Type", "application/json"}},
                      EncodeStandstillNotice(action.notice)};
  // A lost notice costs only time, because each node also detects stalled
  // groups by itself.
  peers_.Fetch(action.address, std::move(request),
               Within(settings_.peer_timeout),
               [](const Result<HttpResponse, HttpFailure>&) {});
}

void GatewayRuntime::Execute(const AskProgress& action) {
  HttpRequest request{"POST",
                      std::string(kProgressPath),
                      {{"Content-Type", "application/json"}},
                      EncodeStandstillNotice(action.group)};
  peers_.Fetch(
      action.address, std::move(request), Within(settings_.peer_timeout),
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
        Execute(parts_.core->OnProgressHeard(Now(), group, ValueOf(age)));
      });
}

}  // namespace gcw
