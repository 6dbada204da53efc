#include "transport/operator_service.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "protocol/protocol.h"
#include "transport/operator_pages.h"
#include "transport/query_string.h"

namespace gcw {
namespace {

namespace json = boost::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kDefaultEvents = 500;
constexpr std::size_t kMaxEvents = 5000;

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;

HttpResponse JsonResponse(int status, std::string body) {
  return HttpResponse{
      status, {{"Content-Type", "application/json"}}, std::move(body)};
}

HttpResponse ErrorResponse(int status,
                           std::string_view type,
                           std::string_view message) {
  return JsonResponse(status,
                      WriteError(type, message, RequestId(), Duration()));
}

HttpResponse PageResponse(const json::object& page) {
  return JsonResponse(kStatusOk, json::serialize(page));
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < 0) {
    return std::nullopt;
  }
  return number;
}

std::string DescribeError(const CodecError& error) {
  std::string text(CodecErrorKindName(error.kind));
  return error.field.empty() ? text : error.field + ": " + text;
}

Result<std::string, HttpResponse> NormalizeContract(const std::string& id,
                                                    std::string_view text) {
  const Decoded<Contract> decoded = DecodeContract(text);
  if (!IsOk(decoded)) {
    return ErrorResponse(kStatusBadRequest, "invalid_contract",
                         DescribeError(ErrorOf(decoded)));
  }
  const Contract& contract = ValueOf(decoded);
  if (const std::optional<ContractError> fault = Validate(contract)) {
    return ErrorResponse(kStatusBadRequest, "invalid_contract",
                         std::string(fault->field) + ": " +
                             std::string(ContractErrorKindName(fault->kind)));
  }
  if (contract.id.value() != id) {
    return ErrorResponse(kStatusBadRequest, "invalid_contract",
                         "id: differs from the path");
  }
  return EncodeContract(contract);
}

Result<std::string, HttpResponse> NormalizeModel(const std::string& id,
                                                 std::string_view text) {
  const Decoded<DesiredModel> decoded = DecodeDesiredModel(text);
  if (!IsOk(decoded)) {
    return ErrorResponse(kStatusBadRequest, "invalid_model",
                         DescribeError(ErrorOf(decoded)));
  }
  if (ValueOf(decoded).model.value() != id) {
    return ErrorResponse(kStatusBadRequest, "invalid_model",
                         "model: differs from the path");
  }
  return EncodeDesiredModel(ValueOf(decoded));
}

HttpResponse OutcomeResponse(const ChangeOutcome& outcome) {
  return std::visit(
      Overloaded{
          [](const ChangeAccepted& accepted) {
            return PageResponse(
                json::object{{"revision", accepted.revision.value()}});
          },
          [](const ChangeConflict& conflict) {
            json::object error{
                {"type", "conflict"},
                {"message",
                 "The key stands at another revision; look at it "
                 "and change it from there."}};
            json::object page{{"error", error}, {"current", nullptr}};
            if (conflict.current) {
              page["current"] = ConfigEntryPage(*conflict.current);
            }
            return JsonResponse(kStatusConflict, json::serialize(page));
          },
          [](const ChangeUnavailable& unavailable) {
            return ErrorResponse(
                kStatusUnavailable, ChangeUnavailableKindName(unavailable.kind),
                unavailable.kind == ChangeUnavailableKind::kOutcomeUnknown
                    ? "The change may be in force; send it again with the same "
                      "change id to learn its outcome."
                    : "The change was not made.");
          }},
      outcome);
}

}  // namespace

OperatorService::OperatorService(Secret credential,
                                 NodeRuntime& runtime,
                                 Metrics& metrics)
    : credential_(std::move(credential)),
      runtime_(runtime),
      metrics_(metrics),
      families_{{"contracts", kContractPrefix, NormalizeContract},
                {"models", kModelPrefix, NormalizeModel}} {}

void OperatorService::Handle(const HttpRequest& request,
                             const std::shared_ptr<HttpResponder>& responder) {
  if (!IsAuthorized(request)) {
    responder->Respond(ErrorResponse(
        kStatusUnauthorized, "credential_wrong",
        "Send the operators' credential as `Authorization: Bearer KEY`."));
    return;
  }
  if (HandlePage(request, responder) || HandleAction(request, responder)) {
    return;
  }
  for (const ConfigFamily& family : families_) {
    if (HandleConfigFamily(family, request, responder)) {
      return;
    }
  }
  responder->Respond(ErrorResponse(kStatusNotFound, "unknown_path",
                                   "There is no such path; see docs/API.md."));
}

bool OperatorService::IsAuthorized(const HttpRequest& request) const {
  std::string_view authorization = request.Header("Authorization");
  if (!authorization.starts_with(kBearer)) {
    return false;
  }
  authorization.remove_prefix(kBearer.size());
  return credential_.Matches(authorization);
}

bool OperatorService::HandlePage(const HttpRequest& request,
                                 const Responder& responder) {
  const std::string path = ExtractPath(request.target);
  if (request.method != "GET") {
    return false;
  }
  const auto show = [&](json::object (*page)(const NodeCore&, Time)) {
    runtime_.RunOnControlThread(
        [responder, page](NodeCore& core, EventLog&, Time now) {
          responder->Respond(PageResponse(page(core, now)));
        });
    return true;
  };
  if (path == "/v1/status") {
    return show(StatusPage);
  }
  if (path == "/v1/groups") {
    return show(GroupsPage);
  }
  if (path == "/v1/limits") {
    return show(LimitsPage);
  }
  if (path == "/v1/nodes") {
    return show([](const NodeCore& core, Time) { return NodesPage(core); });
  }
  if (path == "/v1/timeline") {
    ShowTimeline(request, responder);
    return true;
  }
  if (path == "/v1/why") {
    ShowExplanation(request, responder);
    return true;
  }
  if (path == "/metrics") {
    responder->Respond(
        HttpResponse{kStatusOk,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     metrics_.Expose()});
    return true;
  }
  constexpr std::string_view kChanges = "/v1/changes/";
  if (path.starts_with(kChanges)) {
    ShowChange(path.substr(kChanges.size()), responder);
    return true;
  }
  return false;
}

bool OperatorService::HandleAction(const HttpRequest& request,
                                   const Responder& responder) {
  if (request.method != "POST") {
    return false;
  }
  const std::string path = ExtractPath(request.target);
  if (path == "/v1/drain") {
    runtime_.Post(StopRequested{});
    responder->Respond(JsonResponse(
        kStatusAccepted, json::serialize(json::object{{"draining", true}})));
    return true;
  }
  if (path == "/v1/groups/drain") {
    DrainGroup(request, responder);
    return true;
  }
  return false;
}

bool OperatorService::HandleConfigFamily(const ConfigFamily& family,
                                         const HttpRequest& request,
                                         const Responder& responder) {
  const std::string path = ExtractPath(request.target);
  const std::string root = "/v1/" + std::string(family.name);
  if (path == root && request.method == "GET") {
    runtime_.RunOnControlThread(
        [responder, family](NodeCore& core, EventLog&, Time) {
          responder->Respond(
              PageResponse(ConfigPage(core, family.prefix, family.name)));
        });
    return true;
  }
  if (!path.starts_with(root + "/")) {
    return false;
  }
  const std::string id = path.substr(root.size() + 1);
  if (request.method == "GET") {
    ShowEntry(std::string(family.prefix) + id, responder);
    return true;
  }
  if (request.method == "PUT" || request.method == "DELETE") {
    WriteEntry(family, id, request, responder);
    return true;
  }
  return false;
}

void OperatorService::ShowEntry(const std::string& key,
                                const Responder& responder) {
  runtime_.RunOnControlThread(
      [responder, key](NodeCore& core, EventLog&, Time) {
        const ConfigEntry* entry = core.configuration().store().Find(key);
        if (entry == nullptr || !entry->record.value) {
          responder->Respond(ErrorResponse(kStatusNotFound, "not_found",
                                           "There is no such entry."));
          return;
        }
        responder->Respond(PageResponse(ConfigEntryPage(*entry)));
      });
}

void OperatorService::WriteEntry(const ConfigFamily& family,
                                 const std::string& id,
                                 const HttpRequest& request,
                                 const Responder& responder) {
  const std::optional<std::int64_t> expected =
      ParseNumber(QueryValue(request.target, "expected"));
  ConfigChange change;
  change.key = std::string(family.prefix) + id;
  change.id = ChangeId(QueryValue(request.target, "change"));
  if (!expected || change.id.empty()) {
    responder->Respond(ErrorResponse(
        kStatusBadRequest, "invalid_change",
        "Give `expected`, the revision to change from (0: none yet), and "
        "`change`, an id of your own for this change."));
    return;
  }
  change.expected_revision = Revision(*expected);
  if (request.method == "PUT") {
    Result<std::string, HttpResponse> value =
        family.normalize(id, request.body);
    if (!IsOk(value)) {
      responder->Respond(ErrorOf(value));
      return;
    }
    change.value = std::move(ValueOf(value));
  }
  runtime_.CommitChange(std::move(change),
                        [responder](const ChangeOutcome& outcome) {
                          responder->Respond(OutcomeResponse(outcome));
                        });
}

void OperatorService::ShowTimeline(const HttpRequest& request,
                                   const Responder& responder) {
  const EventId after(QueryValue(request.target, "after"));
  const std::size_t limit =
      static_cast<std::size_t>(ParseNumber(QueryValue(request.target, "limit"))
                                   .value_or(kDefaultEvents));
  runtime_.RunOnControlThread([responder, after, limit](NodeCore&,
                                                        EventLog& log, Time) {
    const std::size_t count = std::min(limit, kMaxEvents);
    const Result<EventPage, EventReadError> page =
        after.empty() ? log.ReadNewest(count) : log.ReadSince(after, count);
    if (!IsOk(page)) {
      responder->Respond(ErrorResponse(kStatusBadRequest, "invalid_event_id",
                                       "`after` is no event id of this node."));
      return;
    }
    responder->Respond(JsonResponse(kStatusOk, EncodeEventPage(ValueOf(page))));
  });
}

void OperatorService::ShowExplanation(const HttpRequest& request,
                                      const Responder& responder) {
  const std::string subject = QueryValue(request.target, "subject");
  runtime_.RunOnControlThread(
      [responder, subject](NodeCore&, EventLog& log, Time) {
        const Explanation explanation = log.Explain(subject);
        json::array events;
        for (const ExplainedEvent& explained : explanation.events) {
          json::object event = EventToJson(explained.event);
          event["relation"] = EventRelationName(explained.relation);
          events.emplace_back(std::move(event));
        }
        json::array missing;
        for (const EventId& id : explanation.missing_causes) {
          missing.emplace_back(id.value());
        }
        responder->Respond(PageResponse(
            json::object{{"events", events}, {"missing_causes", missing}}));
      });
}

void OperatorService::ShowChange(const std::string& text,
                                 const Responder& responder) {
  const std::optional<std::int64_t> revision = ParseNumber(text);
  if (!revision) {
    responder->Respond(ErrorResponse(kStatusBadRequest, "invalid_revision",
                                     "The revision is no number."));
    return;
  }
  runtime_.Post(OperatorQueryRevision{Revision(*revision)});
  runtime_.RunOnControlThread(
      [responder, revision](NodeCore& core, EventLog&, Time) {
        responder->Respond(PageResponse(ConfirmationPage(
            core.configuration().Confirmation(Revision(*revision)))));
      });
}

void OperatorService::DrainGroup(const HttpRequest& request,
                                 const Responder& responder) {
  const FabricDomainId domain(QueryValue(request.target, "domain"));
  const GroupId group(QueryValue(request.target, "group"));
  if (domain.empty() || group.empty()) {
    responder->Respond(ErrorResponse(kStatusBadRequest, "invalid_group",
                                     "Give `domain` and `group`."));
    return;
  }
  runtime_.RunOnControlThread([this, responder, domain, group](
                                  NodeCore& core, EventLog&, Time now) {
    const RoleName role("keeper/" + domain.value());
    const std::vector<RoleName> roles = core.Roles(now);
    if (std::find(roles.begin(), roles.end(), role) == roles.end()) {
      responder->Respond(
          ErrorResponse(kStatusConflict, "not_keeper",
                        "Another node keeps this domain; ask the one whose "
                        "status lists its role."));
      return;
    }
    runtime_.Post(OperatorDrainGroup{domain, group});
    responder->Respond(JsonResponse(
        kStatusAccepted, json::serialize(json::object{{"draining", true}})));
  });
}

}  // namespace gcw
