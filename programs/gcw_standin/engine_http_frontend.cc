#include "programs/gcw_standin/engine_http_frontend.h"

#include <algorithm>
#include <utility>

#include "programs/gcw_standin/http_answers.h"

namespace gcw {
namespace {

constexpr Duration kTickInterval = Duration::Millis(5);
constexpr Duration kWeightsRetryDelay = Duration::Seconds(1);
constexpr Duration kWeightsTimeout = Duration::Seconds(24L * 3600);
constexpr int kNotServing = 503;
constexpr int kOtherGeneration = 409;

bool IsWorkload(const HttpRequest& request) {
  return request.target.starts_with("/v1/");
}

bool IsWrite(const HttpRequest& request) {
  return request.method == "POST";
}

std::string_view NameOf(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kNotServing:
      return "not_serving";
    case NotRunReason::kOtherGeneration:
      return "other_generation";
    case NotRunReason::kOtherModel:
      return "other_model";
    case NotRunReason::kQueueFull:
      return "queue_full";
    case NotRunReason::kDeadline:
      return "deadline";
  }
  return "unknown";
}

HttpCallOptions PollOptions() {
  return {.connect_timeout = Duration::Millis(200),
          .progress_timeout = Duration::Millis(300),
          .deadline = Duration::Millis(400)};
}

HttpCallOptions WeightsOptions() {
  return {.progress_timeout = kWeightsTimeout, .deadline = kWeightsTimeout};
}

EngineCall MakeCall(const HttpRequest& request, ChatRequest chat) {
  EngineCall call;
  call.attempt = AttemptId(request.Header(kAttemptHeader));
  call.chat = std::move(chat);
  if (const auto generation = ParseNumber(request.Header(kGenerationHeader))) {
    call.generation = Generation(*generation);
  }
  call.priority = ParseNumber(request.Header(kPriorityHeader)).value_or(0);
  const auto resume_from = ParseNumber(request.Header(kResumeFromHeader));
  call.resume_from = std::max<std::int64_t>(resume_from.value_or(0), 0);
  if (const auto deadline = ParseNumber(request.Header(kDeadlineHeader))) {
    call.deadline = Time::FromMillis(*deadline);
  }
  return call;
}

HttpHeader AttemptHeader(const AttemptId& attempt) {
  return {std::string(kAttemptHeader), attempt.value()};
}

}  // namespace

EngineHttpFrontend::EngineHttpFrontend(StandinServer& server, Settings settings)
    : server_(server),
      settings_(std::move(settings)),
      engine_(settings_.engine, server.faults()),
      client_(server.context()) {
  server.RunEvery(kTickInterval,
                  [this](Time now) { Execute(engine_.Tick(now)); });
}

StandinServer::Hooks EngineHttpFrontend::MakeHooks() {
  StandinServer::Hooks hooks;
  hooks.handle = [this](Time now, const HttpRequest& request,
                        std::shared_ptr<HttpResponder> responder) {
    Handle(now, request, std::move(responder));
  };
  hooks.is_workload = IsWorkload;
  hooks.is_write = IsWrite;
  hooks.on_faults_changed = [this] { OnFaultsChanged(); };
  return hooks;
}

void EngineHttpFrontend::Handle(Time now,
                                const HttpRequest& request,
                                std::shared_ptr<HttpResponder> responder) {
  if (request.target == "/v1/chat/completions") {
    HandleChat(now, request, std::move(responder));
  } else if (request.target == "/orders") {
    HandleOrder(now, request, *responder);
  } else if (request.target == "/cancel") {
    HandleCancel(request, *responder);
  } else if (!HandleRead(now, request, *responder)) {
    responder->Respond(NotFoundResponse());
  }
}

bool EngineHttpFrontend::HandleRead(Time now,
                                    const HttpRequest& request,
                                    HttpResponder& responder) const {
  const std::string_view path = TargetPath(request.target);
  if (path == "/status") {
    responder.Respond(
        JsonResponse(200, EncodeEngineStatus(engine_.Status(now))));
  } else if (path == "/load") {
    responder.Respond(
        JsonResponse(200, EncodeLoadReport(engine_.DelayedLoadReport(now))));
  } else if (path == "/cache_events") {
    const auto requested = QueryNumber(request.target, "after").value_or(0);
    const std::int64_t after = std::max<std::int64_t>(requested, 0);
    responder.Respond(
        JsonResponse(200, EncodeCacheEvents(engine_.CacheEvents(now, after))));
  } else if (path == "/executions") {
    responder.Respond(
        JsonResponse(200, engine_.executions().ToJson("attempts")));
  } else {
    return false;
  }
  return true;
}

void EngineHttpFrontend::HandleOrder(Time now,
                                     const HttpRequest& request,
                                     HttpResponder& responder) {
  const auto order = DecodeEngineOrder(request.body);
  if (!IsOk(order)) {
    responder.Respond(MalformedResponse(ErrorOf(order)));
    return;
  }
  const EngineOrderResult result = engine_.OnOrder(now, ValueOf(order));
  EngineOrderReplyMessage message = EncodeEngineOrderReply(result.reply);
  responder.Respond(JsonResponse(message.status, std::move(message.body)));
  Execute(result.actions);
}

void EngineHttpFrontend::HandleCancel(const HttpRequest& request,
                                      HttpResponder& responder) {
  const auto attempt = DecodeCancel(request.body);
  if (!IsOk(attempt)) {
    responder.Respond(MalformedResponse(ErrorOf(attempt)));
    return;
  }
  std::vector<EngineAction> actions;
  const bool cancelled = engine_.OnCancel(ValueOf(attempt), actions);
  responder.Respond(JsonResponse(200, EncodeCancelReply(cancelled)));
  Execute(actions);
}

void EngineHttpFrontend::HandleChat(Time now,
                                    const HttpRequest& request,
                                    std::shared_ptr<HttpResponder> responder) {
  auto chat = DecodeChatRequest(request.body);
  if (!IsOk(chat)) {
    responder->Respond(MalformedResponse(ErrorOf(chat)));
    return;
  }
  EngineCall call = MakeCall(request, std::move(ValueOf(chat)));
  const Ticket ticket = ++last_ticket_;
  responder->OnCallerGone([this, ticket] {
    engine_.DropRequest(ticket);
    exchanges_.erase(ticket);
  });
  exchanges_[ticket] = {std::move(responder), call.attempt, call.chat.stream};
  Execute(engine_.OnChat(now, ticket, std::move(call)));
}

void EngineHttpFrontend::Execute(const std::vector<EngineAction>& actions) {
  for (const EngineAction& action : actions) {
    std::visit([this](const auto& typed) { Execute(typed); }, action);
  }
}

void EngineHttpFrontend::Execute(const SendToken& action) {
  const auto found = exchanges_.find(action.ticket);
  if (found == exchanges_.end()) {
    return;
  }
  StartStream(found->second);
  // A copy keeps the responder alive if the caller disconnects during the
  // write, which erases the exchange.
  const std::shared_ptr<HttpResponder> responder = found->second.responder;
  responder->Write(EncodeChatTokenEvent(action.token));
}

void EngineHttpFrontend::Execute(const FinishAnswer& action) {
  Exchange exchange = TakeExchange(action.ticket);
  if (!exchange.responder) {
    return;
  }
  if (exchange.stream) {
    StartStream(exchange);
    exchange.responder->Write(std::string(kChatStreamEnd));
    exchange.responder->Finish();
    return;
  }
  HttpResponse response = JsonResponse(200, EncodeChatAnswer(action.answer));
  response.headers.push_back(AttemptHeader(exchange.attempt));
  exchange.responder->Respond(std::move(response));
}

void EngineHttpFrontend::Execute(const AbortAnswer& action) {
  const Exchange exchange = TakeExchange(action.ticket);
  if (exchange.responder) {
    exchange.responder->Abort();
  }
}

void EngineHttpFrontend::Execute(const RejectCall& action) {
  const Exchange exchange = TakeExchange(action.ticket);
  if (!exchange.responder) {
    return;
  }
  const int status = action.reason == NotRunReason::kOtherGeneration
                         ? kOtherGeneration
                         : kNotServing;
  HttpResponse response = NotRunResponse(status, NameOf(action.reason));
  response.headers.push_back(AttemptHeader(exchange.attempt));
  exchange.responder->Respond(std::move(response));
}

void EngineHttpFrontend::Execute(const PollMember& action) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/status";
  client_.Fetch(
      action.address, std::move(request), PollOptions(),
      [this](const Result<HttpResponse, HttpFailure>& result) {
        if (!IsOk(result)) {
          return;
        }
        const auto status = DecodeEngineStatus(ValueOf(result).body);
        if (IsOk(status)) {
          Execute(engine_.OnMemberStatus(server_.now(), ValueOf(status)));
        }
      });
}

void EngineHttpFrontend::Execute(const FetchWeights& action) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/fetch";
  request.body = boost::json::serialize(
      boost::json::object{{"bytes", settings_.shard_bytes}});
  client_.Fetch(
      settings_.weight_store, std::move(request), WeightsOptions(),
      [this, action](const Result<HttpResponse, HttpFailure>& result) {
        if (IsOk(result) && ValueOf(result).status == 200) {
          engine_.OnWeights(server_.now(), action.generation);
          return;
        }
        server_.RunAfter(kWeightsRetryDelay, [this, action](Time now) {
          if (engine_.Status(now).generation == action.generation) {
            Execute(action);
          }
        });
      });
}

void EngineHttpFrontend::StartStream(Exchange& exchange) {
  if (exchange.stream_started) {
    return;
  }
  exchange.stream_started = true;
  exchange.responder->StartStream(200, {{"Content-Type", "text/event-stream"},
                                        AttemptHeader(exchange.attempt)});
}

EngineHttpFrontend::Exchange EngineHttpFrontend::TakeExchange(Ticket ticket) {
  const auto found = exchanges_.find(ticket);
  if (found == exchanges_.end()) {
    return {};
  }
  Exchange exchange = std::move(found->second);
  exchanges_.erase(found);
  return exchange;
}

void EngineHttpFrontend::OnFaultsChanged() {
  if (cache_gaps_ != server_.faults().cache_gaps) {
    cache_gaps_ = server_.faults().cache_gaps;
    engine_.DropCacheEvents();
  }
}

}  // namespace gcw
