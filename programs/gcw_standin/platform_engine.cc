#include "programs/gcw_standin/platform_engine.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace gcw {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

std::int64_t IntegerAt(const boost::json::object& object,
                       std::string_view name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

std::string TextAt(const boost::json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

std::string EventText(int event) {
  return "id: " + std::to_string(event) + "\ndata: piece " +
         std::to_string(event) + "\n\n";
}

}  // namespace

PlatformEngine::PlatformEngine(StandinServer& server,
                               Settings settings,
                               GroupPredicate has_all_members,
                               ChangeCallback on_change)
    : standin_server_(server),
      settings_(std::move(settings)),
      has_all_members_(std::move(has_all_members)),
      on_change_(std::move(on_change)) {}

bool PlatformEngine::Listen(const std::string& ip) {
  auto listening = HttpServer::Listen(
      standin_server_.context(), ip, 0, HttpServerLimits{},
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder) {
        Handle(request, responder);
      });
  if (!IsOk(listening)) {
    return false;
  }
  server_ = std::move(ValueOf(listening));
  settings_.registration.address =
      Address(ip + ":" + std::to_string(server_->port()));
  NotifyChange();
  return true;
}

void PlatformEngine::Kill() {
  server_.reset();
}

void PlatformEngine::Handle(const HttpRequest& request,
                            const std::shared_ptr<HttpResponder>& responder) {
  const std::string& expected = request.Header(kExpectedVmHeader);
  if (!expected.empty() && expected != settings_.registration.id.value()) {
    responder->Respond(
        {kMisdirected,
         {{std::string(kVmHeader), settings_.registration.id.value()}},
         {}});
    return;
  }
  const std::string path = ExtractPath(request.target);
  if (path == kReportPath) {
    responder->Respond({kOk, {{"Content-Type", "application/json"}}, "{}"});
  } else if (path == kOrderPath) {
    HandleOrder(request, *responder);
  } else if (path == kPassPath) {
    HandlePass(request, *responder);
  } else {
    HandleWork(request, responder);
  }
}

void PlatformEngine::HandleWork(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  ++arrivals_;
  on_arrival_(request);
  limit_meter_.OnRequest(standin_server_.now());
  if (rejects_) {
    responder->Respond(
        {kUnavailable, {{std::string(kNotExecutedHeader), "1"}}, {}});
    return;
  }
  if (cooldown_) {
    responder->Respond(
        {kUnavailable,
         {{std::string(kNotExecutedHeader), "1"},
          {std::string(kRetryAfterHeader),
           std::to_string(static_cast<double>(cooldown_->millis()) / 1000)}},
         {}});
    return;
  }
  if (settings_.engine) {
    StreamAnswer(request, responder);
    return;
  }
  ++runs_;
  if (must_crash_(request)) {
    Crash(responder);
    return;
  }
  responder->Respond({kOk, AnswerHeaders(request), "done: " + request.body});
}

void PlatformEngine::Crash(const std::shared_ptr<HttpResponder>& responder) {
  standin_server_.RunAfter(settings_.event_interval, [this, responder](Time) {
    responder->Abort();
    if (alive()) {
      Kill();
      on_crash_();
    }
  });
}

void PlatformEngine::HandlePass(const HttpRequest& request,
                                HttpResponder& responder) const {
  const auto& membership = settings_.registration.membership;
  const bool is_member = membership && membership->group.value() ==
                                           QueryValue(request.target, "group");
  responder.Respond({is_member ? kOk : kConflict, {}, {}});
}

void PlatformEngine::HandleOrder(const HttpRequest& request,
                                 HttpResponder& responder) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(request.body, error);
  const auto* order = value.if_object();
  if (error || order == nullptr || !settings_.engine) {
    responder.Respond({kBadRequest, {}, {}});
    return;
  }
  const FencingToken fence(IntegerAt(*order, "fencing_token"));
  if (fence < last_fence_) {
    responder.Respond({kPreconditionFailed, {}, {}});
    return;
  }
  last_fence_ = fence;
  const std::string kind = TextAt(*order, "op");
  int status = kBadRequest;
  if (kind == "join") {
    status = Join(*order);
  } else if (kind == "open") {
    status = Open(*order);
  } else if (kind == "close") {
    status = Close(*order);
  } else if (kind == "leave") {
    status = Leave(*order);
  } else if (kind == "stage") {
    status = Stage(*order);
  }
  responder.Respond({status, {}, {}});
}

bool PlatformEngine::MatchesMembership(const boost::json::object& order) const {
  const auto& membership = settings_.registration.membership;
  return membership && membership->group.value() == TextAt(order, "group") &&
         membership->generation.value() == IntegerAt(order, "epoch");
}

int PlatformEngine::Join(const boost::json::object& order) {
  const Generation generation(IntegerAt(order, "epoch"));
  if (generation < last_generation_) {
    return kPreconditionFailed;
  }
  if (MatchesMembership(order)) {
    return kOk;
  }
  const auto* members = order.if_contains("members");
  if (members == nullptr || !members->is_array()) {
    return kBadRequest;
  }
  members_.clear();
  for (const boost::json::value& member : members->as_array()) {
    members_.emplace_back(std::string(member.as_string()));
  }
  last_generation_ = generation;
  const ModelId model(TextAt(order, "model"));
  const GroupId group(TextAt(order, "group"));
  const auto rank =
      std::find(members_.begin(), members_.end(), settings_.registration.id) -
      members_.begin();
  settings_.registration.membership =
      GroupMembership{group, generation, rank, MemberPhase::kJoining};
  standin_server_.RunAfter(ScaledLoadTime(model), [this, group, model](Time) {
    BecomeReady(group, model);
  });
  NotifyChange();
  return kAccepted;
}

Duration PlatformEngine::ScaledLoadTime(const ModelId& model) const {
  constexpr Duration kSameModelTime = Duration::Millis(200);
  Duration time = kSameModelTime;
  if (settings_.registration.models != std::vector<ModelId>{model}) {
    for (const ModelProfile& profile : settings_.engine->models) {
      if (profile.model == model) {
        time = settings_.registration.HasStaged(model) ? profile.warm_time
                                                       : profile.load_time;
      }
    }
  }
  return Duration::Millis(static_cast<std::int64_t>(
      static_cast<double>(time.millis()) * settings_.time_scale));
}

void PlatformEngine::BecomeReady(const GroupId& group, const ModelId& model) {
  auto& membership = settings_.registration.membership;
  if (!alive() || !membership || membership->group != group) {
    return;
  }
  membership->phase = MemberPhase::kReady;
  settings_.registration.models = {model};
  settings_.registration.staged = {model};
  NotifyChange();
}

int PlatformEngine::Open(const boost::json::object& order) {
  auto& membership = settings_.registration.membership;
  if (!MatchesMembership(order) || membership->rank != 0 ||
      membership->phase == MemberPhase::kJoining) {
    return kConflict;
  }
  membership->phase = MemberPhase::kOpen;
  NotifyChange();
  return kAccepted;
}

int PlatformEngine::Close(const boost::json::object& order) {
  if (!MatchesMembership(order)) {
    return kConflict;
  }
  settings_.registration.membership->phase = MemberPhase::kReady;
  NotifyChange();
  return kAccepted;
}

int PlatformEngine::Leave(const boost::json::object& order) {
  if (!MatchesMembership(order)) {
    return kConflict;
  }
  settings_.registration.membership.reset();
  members_.clear();
  NotifyChange();
  return kAccepted;
}

int PlatformEngine::Stage(const boost::json::object& order) {
  const ModelId model(TextAt(order, "model"));
  standin_server_.RunAfter(ScaledLoadTime(model), [this, model](Time) {
    settings_.registration.staged = {model};
    if (alive()) {
      NotifyChange();
    }
  });
  return kAccepted;
}

std::vector<HttpHeader> PlatformEngine::AnswerHeaders(
    const HttpRequest& request) const {
  std::vector<HttpHeader> headers = {
      {std::string(kAttemptIdHeader), request.Header(kAttemptIdHeader)},
      {std::string(kProofHeader), "proof-" + settings_.registration.id.value()},
      {std::string(kLoadHeader),
       std::to_string(running_) + ",0," +
           std::to_string(settings_.registration.slots)}};
  if (const auto& limit = limit_meter_.limit()) {
    headers.push_back(
        {std::string(kRateLimitHeader), std::to_string(limit->per_second())});
  }
  if (is_leaving_) {
    headers.push_back({std::string(kLeavingHeader), "1"});
  }
  return headers;
}

void PlatformEngine::StreamAnswer(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  const auto& membership = settings_.registration.membership;
  if (!membership || membership->rank != 0) {
    responder->Respond({kMisdirected, {}, {}});
    return;
  }
  if (membership->phase != MemberPhase::kOpen) {
    responder->Respond(
        {kUnavailable, {{std::string(kNotExecutedHeader), "1"}}, {}});
    return;
  }
  int first = 0;
  const std::string& last = request.Header(kLastEventHeader);
  std::from_chars(last.data(), last.data() + last.size(), first);
  ++running_;
  ++runs_;
  if (must_crash_(request)) {
    Crash(responder);
    return;
  }
  std::vector<HttpHeader> headers = AnswerHeaders(request);
  headers.push_back({"Content-Type", "text/event-stream"});
  responder->StartStream(kOk, std::move(headers));
  SendEvent(responder, first + 1, membership->group);
}

// A group that has lost a member stalls: the stream stays open, but neither
// events nor an error are sent.
void PlatformEngine::SendEvent(const std::shared_ptr<HttpResponder>& responder,
                               int event,
                               const GroupId& group) {
  standin_server_.RunAfter(
      settings_.event_interval, [this, responder, event, group](Time) {
        const auto& membership = settings_.registration.membership;
        if (!alive() || !membership || membership->group != group) {
          --running_;
          responder->Abort();
          return;
        }
        if (!has_all_members_(*this)) {
          SendEvent(responder, event, group);
          return;
        }
        responder->Write(EventText(event));
        if (event < settings_.events) {
          SendEvent(responder, event + 1, group);
          return;
        }
        --running_;
        responder->Finish();
      });
}

}  // namespace gcw
