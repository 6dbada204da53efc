#include "transport/caller_service.h"

#include <charconv>
#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "protocol/protocol.h"
#include "transport/chat_receiver.h"
#include "transport/key_digest.h"
#include "transport/refusal_http.h"
#include "transport/service_receiver.h"

namespace gcw {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServicePath = "/services/";
constexpr std::string_view kTimeoutHeader = "X-Gcw-Timeout-Ms";

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;

void RespondJson(const std::shared_ptr<HttpResponder>& responder,
                 int status,
                 std::string body) {
  responder->Respond(HttpResponse{
      status, {{"Content-Type", "application/json"}}, std::move(body)});
}

void RespondError(const std::shared_ptr<HttpResponder>& responder,
                  int status,
                  std::string_view type,
                  std::string_view message) {
  RespondJson(responder, status,
              WriteError(type, message, RequestId(), Duration()));
}

// Returns the digest of the caller's key, or an empty digest if the request has
// none.
KeyDigest ReadKeyDigest(const HttpRequest& request) {
  const std::string& authorization = request.Header("Authorization");
  if (!authorization.starts_with(kBearer)) {
    return KeyDigest();
  }
  return ComputeKeyDigest(
      std::string_view(authorization).substr(kBearer.size()));
}

// Returns nullopt if the header is not a positive number.
std::optional<Duration> ReadTimeout(const HttpRequest& request,
                                    Duration default_timeout) {
  const std::string& text = request.Header(kTimeoutHeader);
  if (text.empty()) {
    return default_timeout;
  }
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (error != std::errc() || end != text.data() + text.size() || millis <= 0) {
    return std::nullopt;
  }
  return Duration::Millis(millis);
}

// Returns whether a service may run the method twice without harm (RFC 9110,
// section 9.2.1).
bool IsSafeMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}  // namespace

CallerService::CallerService(CallerServiceSettings settings,
                             boost::asio::io_context& traffic_context,
                             HttpClient& client,
                             NodeRuntime& runtime,
                             NodeMetrics& metrics,
                             Clock clock)
    : settings_(std::move(settings)),
      traffic_context_(traffic_context),
      client_(client),
      runtime_(runtime),
      metrics_(metrics),
      clock_(std::move(clock)) {}

void CallerService::Handle(HttpRequest request,
                           const std::shared_ptr<HttpResponder>& responder) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path.starts_with(kServicePath)) {
    HandleService(std::move(request), responder);
  } else if (path == "/v1/entries" && request.method == "GET") {
    HandleEntries(responder);
  } else if (path == "/v1/chat/completions" && request.method == "POST") {
    HandleChat(request, responder);
  } else if (path == "/v1/idempotency-keys" && request.method == "POST") {
    HandleIssueKey(request, responder);
  } else if (path == "/v1/entries" || path == "/v1/chat/completions" ||
             path == "/v1/idempotency-keys") {
    RespondError(responder, kStatusMethodNotAllowed, "method_not_allowed",
                 "This path takes another method; see docs/API.md.");
  } else {
    RespondError(responder, kStatusNotFound, "unknown_path",
                 "There is no such path; see docs/API.md.");
  }
}

void CallerService::HandleChat(const HttpRequest& request,
                               const Responder& responder) {
  const Decoded<ChatRequest> decoded = DecodeChatRequest(request.body);
  if (!IsOk(decoded)) {
    const CodecError& error = ErrorOf(decoded);
    RespondError(responder, kStatusBadRequest, "invalid_request",
                 std::string(CodecErrorKindName(error.kind)) +
                     (error.field.empty() ? "" : ": " + error.field));
    return;
  }
  const ChatRequest& chat = ValueOf(decoded);
  CallerArrived arrived;
  if (!ReadCommonFields(request, settings_.default_model_timeout, responder,
                        arrived)) {
    return;
  }
  const std::string prompt = BuildPrompt(chat);
  RequestProfile& profile = arrived.profile;
  const ModelTarget target{chat.model, chat.adapter};
  profile.target = target;
  profile.prompt_tokens = EstimatePromptTokens(prompt);
  profile.max_generated_tokens = chat.max_tokens;
  profile.prefix_blocks = PrefixBlocks(prompt);
  profile.fingerprint = ComputeFingerprint({chat.model.value(), prompt});
  profile.repeatable = profile.idempotency_key.empty();
  ChatReceiver::Request receiver_request{profile.id, target, request.body,
                                         profile.prompt_tokens, chat.stream};
  auto receiver = std::make_unique<ChatReceiver>(
      std::move(receiver_request), responder,
      [this, arrival = profile.arrived, last = Time()]() mutable {
        const Time now = clock_();
        if (last == Time()) {
          metrics_.OnFirstToken(now - arrival);
        } else {
          metrics_.OnTokenGap(now - last);
        }
        last = now;
      });
  SubmitRequest(std::move(arrived), responder, std::move(receiver),
                settings_.model_progress_timeout);
}

void CallerService::HandleService(HttpRequest request,
                                  const Responder& responder) {
  CallerArrived arrived;
  if (!ReadCommonFields(request, settings_.default_service_timeout, responder,
                        arrived)) {
    return;
  }
  const std::string path_tail = request.target.substr(kServicePath.size());
  const std::size_t slash = path_tail.find_first_of("/?");
  const std::string name = path_tail.substr(0, slash);
  if (name.empty()) {
    RespondError(responder, kStatusNotFound, "unknown_service",
                 "The path names no service.");
    return;
  }
  std::string target =
      slash == std::string::npos ? std::string("/") : path_tail.substr(slash);
  if (target.front() == '?') {
    target.insert(target.begin(), '/');
  }
  RequestProfile& profile = arrived.profile;
  profile.target = ServiceTarget{ServiceId(name)};
  profile.fingerprint =
      ComputeFingerprint({request.method + " " + request.target, request.body});
  profile.repeatable =
      IsSafeMethod(request.method) && profile.idempotency_key.empty();
  request.target = std::move(target);
  std::erase_if(request.headers, [](const HttpHeader& header) {
    return !IsForwardedHeader(header.name);
  });
  auto receiver = std::make_unique<ServiceReceiver>(
      profile.id, std::move(request), responder);
  SubmitRequest(std::move(arrived), responder, std::move(receiver),
                settings_.service_progress_timeout);
}

void CallerService::HandleEntries(const Responder& responder) {
  runtime_.RunOnControlThread([responder](NodeCore& core, EventLog&, Time) {
    const AdvertisedNodes answer = core.AdvertisedAddresses();
    boost::json::array entries;
    for (const EntryAddress& entry : answer.entries) {
      entries.emplace_back(
          boost::json::object{{"address", entry.address.value()},
                              {"zone", entry.zone.value()},
                              {"region", entry.region.value()},
                              {"weight", entry.weight}});
    }
    RespondJson(responder, kStatusOk,
                boost::json::serialize(boost::json::object{
                    {"entries", entries}, {"keep_ms", answer.ttl.millis()}}));
  });
}

void CallerService::HandleIssueKey(const HttpRequest& request,
                                   const Responder& responder) {
  const KeyDigest key = ReadKeyDigest(request);
  runtime_.RunOnControlThread([responder, key](NodeCore& core, EventLog&,
                                               Time now) {
    const IdempotencyKey issued = core.IssueKey(now, key);
    if (issued.empty()) {
      RespondError(responder, kStatusUnauthorized,
                   RefusalKindName(RefusalKind::kUnknownKey),
                   RefusalMessage(RefusalKind::kUnknownKey));
      return;
    }
    RespondJson(responder, kStatusOk,
                boost::json::serialize(
                    boost::json::object{{"idempotency_key", issued.value()}}));
  });
}

bool CallerService::ReadCommonFields(const HttpRequest& request,
                                     Duration default_timeout,
                                     const Responder& responder,
                                     CallerArrived& arrived) {
  arrived.key = ReadKeyDigest(request);
  if (arrived.key.empty()) {
    RespondError(responder, kStatusUnauthorized, "key_missing",
                 "Send the contract's key as `Authorization: Bearer KEY`.");
    return false;
  }
  const std::optional<Duration> timeout = ReadTimeout(request, default_timeout);
  if (!timeout) {
    RespondError(responder, kStatusBadRequest, "invalid_timeout",
                 "X-Gcw-Timeout-Ms is not a positive number.");
    return false;
  }
  RequestProfile& profile = arrived.profile;
  profile.id = RequestId(settings_.id_prefix + std::to_string(++last_request_));
  profile.arrived = clock_();
  profile.deadline =
      profile.arrived + std::min(*timeout, settings_.max_timeout);
  profile.idempotency_key =
      IdempotencyKey(request.Header(kIdempotencyKeyHeader));
  return true;
}

void CallerService::SubmitRequest(CallerArrived arrived,
                                  const Responder& responder,
                                  std::unique_ptr<AnswerReceiver> receiver,
                                  Duration progress_timeout) {
  HttpCallOptions options;
  options.connect_timeout = settings_.connect_timeout;
  options.progress_timeout = progress_timeout;
  CallerExchange::Hooks hooks;
  hooks.post = [this](NodeEvent event) { runtime_.Post(std::move(event)); };
  hooks.clock = clock_;
  auto exchange = std::make_shared<CallerExchange>(
      traffic_context_, client_, arrived.profile.id, responder,
      std::move(receiver), options, std::move(hooks));
  // A weak pointer, because the responder must not keep the exchange alive. The
  // exchange owns the responder for as long as the request lasts.
  responder->OnCallerGone([weak = std::weak_ptr<CallerExchange>(exchange)] {
    if (const std::shared_ptr<CallerExchange> live_exchange = weak.lock()) {
      live_exchange->OnCallerGone();
    }
  });
  runtime_.StartRequest(std::move(arrived), std::move(exchange));
}

}  // namespace gcw
