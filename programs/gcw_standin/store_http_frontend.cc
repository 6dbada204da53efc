#include "programs/gcw_standin/store_http_frontend.h"

#include <utility>

#include "programs/gcw_standin/http_answers.h"

namespace gcw {
namespace {

constexpr Duration kTickInterval = Duration::Millis(20);
constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;

bool IsWrite(const HttpRequest& request) {
  const auto call = DecodeStoreCall(request.target, request.body);
  return IsOk(call) && IsStoreWrite(ValueOf(call));
}

bool IsTooLarge(const StoreCall& call) {
  const auto* put = std::get_if<StorePut>(&call);
  return put != nullptr && put->value.size() > kMaxValueBytes;
}

}  // namespace

StoreHttpFrontend::StoreHttpFrontend(StandinServer& server,
                                     StandinStore::Settings settings)
    : store_(settings) {
  server.RunEvery(kTickInterval,
                  [this](Time now) { Deliver(store_.Tick(now)); });
}

StandinServer::Hooks StoreHttpFrontend::MakeHooks() {
  StandinServer::Hooks hooks;
  hooks.handle = [this](Time now, const HttpRequest& request,
                        std::shared_ptr<HttpResponder> responder) {
    Handle(now, request, std::move(responder));
  };
  hooks.is_workload = [](const HttpRequest&) { return true; };
  hooks.is_write = IsWrite;
  return hooks;
}

void StoreHttpFrontend::Handle(Time now,
                               const HttpRequest& request,
                               std::shared_ptr<HttpResponder> responder) {
  if (request.target == "/counts") {
    RespondCounts(*responder);
    return;
  }
  const auto call = DecodeStoreCall(request.target, request.body);
  if (!IsOk(call)) {
    responder->Respond(MalformedResponse(ErrorOf(call)));
    return;
  }
  if (IsTooLarge(ValueOf(call))) {
    responder->Respond(
        MalformedResponse({CodecErrorKind::kOutOfRange, "value"}));
    return;
  }
  HandleCall(now, ValueOf(call), std::move(responder));
}

void StoreHttpFrontend::HandleCall(Time now,
                                   const StoreCall& call,
                                   std::shared_ptr<HttpResponder> responder) {
  const Ticket ticket = ++last_ticket_;
  responder->OnCallerGone([this, ticket] {
    store_.DropWatch(ticket);
    responders_.erase(ticket);
  });
  responders_[ticket] = std::move(responder);
  Deliver(store_.OnCall(now, ticket, call));
}

void StoreHttpFrontend::Deliver(const std::vector<StoreAnswer>& answers) {
  for (const StoreAnswer& answer : answers) {
    const auto found = responders_.find(answer.ticket);
    if (found == responders_.end()) {
      continue;
    }
    const std::shared_ptr<HttpResponder> responder = std::move(found->second);
    responders_.erase(found);
    StoreReplyMessage message = EncodeStoreReply(answer.reply);
    responder->Respond(JsonResponse(message.status, std::move(message.body)));
  }
}

void StoreHttpFrontend::RespondCounts(HttpResponder& responder) const {
  const StoreCounts& counts = store_.counts();
  responder.Respond(JsonResponse(
      200, boost::json::serialize(boost::json::object{{"calls", counts.calls},
                                                      {"writes", counts.writes},
                                                      {"busy", counts.busy}})));
}

}  // namespace gcw
