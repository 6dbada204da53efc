#include "programs/gcwctl/commands.h"

#include <unistd.h>

#include <fstream>
#include <utility>

#include <boost/json.hpp>

#include "programs/gcwctl/answer_fields.h"
#include "programs/gcwctl/setting_files.h"
#include "programs/gcwctl/table.h"

namespace gcw {
namespace {

namespace json = boost::json;

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusConflict = 409;

std::string_view DescribeError(OperatorCallErrorKind kind) {
  switch (kind) {
    case OperatorCallErrorKind::kAddressMalformed:
      return "malformed address, expected IP:PORT";
    case OperatorCallErrorKind::kUnreachable:
      return "connection failed; nothing was sent";
    case OperatorCallErrorKind::kNoAnswer:
      return "no response; the command may have taken effect";
    case OperatorCallErrorKind::kAnswerMalformed:
      return "malformed response; check that this is the operator port";
  }
  return "unknown";
}

}  // namespace

Commands::Commands(CommandLine line,
                   Secret credential,
                   std::ostream& out,
                   std::ostream& err)
    : line_(std::move(line)),
      credential_(std::move(credential)),
      out_(out),
      err_(err) {}

ExitCode Commands::Run() {
  const std::string verb = Argument(0);
  if (verb == "contract") {
    return RunSettingCommand({"contract", "contracts"});
  }
  if (verb == "model") {
    return RunSettingCommand({"model", "models"});
  }
  if (verb == "status") {
    return ShowPage("/v1/status");
  }
  if (verb == "node") {
    return RunNode();
  }
  if (verb == "group") {
    return RunGroup();
  }
  if (verb == "limits") {
    return ShowLimits();
  }
  if (verb == "evacuation") {
    return ShowEvacuations();
  }
  if (verb == "route") {
    return ExplainRoute();
  }
  if (verb == "block") {
    return RunBlock();
  }
  if (verb == "change") {
    return ShowChange();
  }
  if (verb == "timeline") {
    return ShowTimeline();
  }
  if (verb == "why") {
    return ShowWhy();
  }
  return PrintUsage();
}

ExitCode Commands::ShowPage(const std::string& target) {
  OperatorAnswer answer;
  ExitCode failure = ExitCode::kUnreachable;
  if (!FetchPage(target, answer, failure)) {
    return failure;
  }
  if (line_.json) {
    out_ << json::serialize(answer.body) << '\n';
    return ExitCode::kDone;
  }
  for (const auto& field : answer.body) {
    out_ << std::string_view(field.key()) << ": " << PlainText(field.value())
         << '\n';
  }
  return ExitCode::kDone;
}

ExitCode Commands::RunNode() {
  if (Argument(1) == "drain" && !Argument(2).empty()) {
    return DrainNode(Argument(2));
  }
  if (Argument(1) != "list") {
    return PrintUsage();
  }
  OperatorAnswer answer;
  ExitCode failure = ExitCode::kUnreachable;
  if (!FetchPage("/v1/nodes", answer, failure)) {
    return failure;
  }
  if (line_.json) {
    out_ << json::serialize(answer.body) << '\n';
    return ExitCode::kDone;
  }
  PrintTable(FieldList(answer.body, "nodes"),
             {"node", "state", "leaving", "zone", "region", "caller_address",
              "operator_address"},
             out_);
  return ExitCode::kDone;
}

ExitCode Commands::DrainNode(const std::string& id) {
  std::vector<json::object> nodes;
  ExitCode failure = ExitCode::kUnreachable;
  if (!FindNodes(nodes, failure)) {
    return failure;
  }
  for (const json::object& node : nodes) {
    if (FieldText(node, "node") != id) {
      continue;
    }
    OperatorClient client =
        MakeClient(Address(FieldText(node, "operator_address")));
    const Result<OperatorAnswer, OperatorCallError> answer =
        client.Call("POST", "/v1/drain");
    if (!IsOk(answer)) {
      err_ << id << ": " << DescribeError(ErrorOf(answer).kind) << '\n';
      return ExitCode::kUnreachable;
    }
    if (ValueOf(answer).status != kStatusAccepted) {
      return ReportRefusal(ValueOf(answer));
    }
    out_ << id << " is draining\n";
    return ExitCode::kDone;
  }
  err_ << "no node with id " << id << "; see `gcwctl node list`\n";
  return ExitCode::kRefused;
}

ExitCode Commands::RunGroup() {
  const std::string action = Argument(1);
  if (action == "list") {
    return ShowGroups("");
  }
  if (action == "show" && !Argument(2).empty()) {
    return ShowGroups(Argument(2));
  }
  if (action != "drain" || Argument(2).empty() || line_.domain.empty()) {
    return PrintUsage();
  }
  // Which node controls the domain is found by trying each node in turn.
  std::vector<json::object> nodes;
  ExitCode failure = ExitCode::kUnreachable;
  if (!FindNodes(nodes, failure)) {
    return failure;
  }
  for (const json::object& node : nodes) {
    OperatorClient client =
        MakeClient(Address(FieldText(node, "operator_address")));
    const Result<OperatorAnswer, OperatorCallError> answer = client.Call(
        "POST", "/v1/groups/drain?domain=" + EscapeQuery(line_.domain) +
                    "&group=" + EscapeQuery(Argument(2)));
    if (IsOk(answer) && ValueOf(answer).status == kStatusAccepted) {
      out_ << Argument(2) << " is draining\n";
      return ExitCode::kDone;
    }
  }
  err_ << "no node accepted the drain in domain " << line_.domain
       << "; check group and domain with `gcwctl group list`\n";
  return ExitCode::kRefused;
}

ExitCode Commands::ShowGroups(const std::string& id) {
  OperatorAnswer answer;
  ExitCode failure = ExitCode::kUnreachable;
  if (!FetchPage("/v1/groups", answer, failure)) {
    return failure;
  }
  if (line_.json) {
    out_ << json::serialize(answer.body) << '\n';
    return ExitCode::kDone;
  }
  json::array rows;
  for (const json::value& group : FieldList(answer.body, "groups")) {
    if (id.empty() || FieldText(group.get_object(), "group") == id) {
      rows.push_back(group);
    }
  }
  if (!id.empty() && rows.empty()) {
    err_ << "no group with id " << id << "; see `gcwctl group list`\n";
    return ExitCode::kRefused;
  }
  PrintTable(rows,
             {"group", "domain", "model", "generation", "state", "members"},
             out_);
  if (id.empty()) {
    out_ << '\n';
    PrintTable(FieldList(answer.body, "open_endpoints"),
               {"endpoint", "zone", "generation", "own_in_flight",
                "expected_wait_ms", "report_age_ms", "is_ejected"},
               out_);
  }
  return ExitCode::kDone;
}

ExitCode Commands::ShowLimits() {
  OperatorAnswer answer;
  ExitCode failure = ExitCode::kUnreachable;
  if (!FetchPage("/v1/limits", answer, failure)) {
    return failure;
  }
  if (line_.json) {
    out_ << json::serialize(answer.body) << '\n';
    return ExitCode::kDone;
  }
  PrintTable(FieldList(answer.body, "limits"),
             {"contract", "limit", "share", "is_floor", "running"}, out_);
  return ExitCode::kDone;
}

ExitCode Commands::RunBlock() {
  OperatorAnswer answer;
  ExitCode failure = ExitCode::kUnreachable;
  if (Argument(1) == "lift" && !Argument(2).empty()) {
    if (!Call("POST", "/v1/blocks/lift?fingerprint=" + EscapeQuery(Argument(2)),
              "", answer, failure)) {
      return failure;
    }
    if (answer.status != kStatusOk) {
      return ReportRefusal(answer);
    }
    out_ << Argument(2) << ": lifted; the other nodes follow within seconds\n";
    return ExitCode::kDone;
  }
  if (Argument(1) != "list") {
    return PrintUsage();
  }
  if (!FetchPage("/v1/blocks", answer, failure)) {
    return failure;
  }
  if (line_.json) {
    out_ << json::serialize(answer.body) << '\n';
    return ExitCode::kDone;
  }
  PrintTable(
      FieldList(answer.body, "blocks"),
      {"fingerprint", "part", "blocked_ms", "failed_trials", "crashed_vms"},
      out_);
  return ExitCode::kDone;
}

ExitCode Commands::ShowEvacuations() {
  if (Argument(1) != "list") {
    return PrintUsage();
  }
  OperatorAnswer answer;
  ExitCode failure = ExitCode::kUnreachable;
  if (!FetchPage("/v1/evacuations", answer, failure)) {
    return failure;
  }
  if (line_.json) {
    out_ << json::serialize(answer.body) << '\n';
    return ExitCode::kDone;
  }
  PrintTable(FieldList(answer.body, "evacuations"),
             {"zone", "age_ms", "revision"}, out_);
  return ExitCode::kDone;
}

ExitCode Commands::ShowChange() {
  if (Argument(1) != "show" || Argument(2).empty()) {
    return PrintUsage();
  }
  return ShowPage("/v1/changes/" + Argument(2));
}

bool Commands::Call(const std::string& method,
                    const std::string& target,
                    const std::string& body,
                    OperatorAnswer& answer,
                    ExitCode& failure) {
  for (const Address& node : line_.nodes) {
    Result<OperatorAnswer, OperatorCallError> called =
        MakeClient(node).Call(method, target, body);
    if (IsOk(called)) {
      answer = std::move(ValueOf(called));
      return true;
    }
    const OperatorCallErrorKind kind = ErrorOf(called).kind;
    err_ << node << ": " << DescribeError(kind) << '\n';
    if (kind == OperatorCallErrorKind::kNoAnswer) {
      failure = ExitCode::kOutcomeUnknown;
    }
  }
  if (line_.nodes.empty()) {
    err_ << "no node address; use --node ADDRESS or set GCW_NODE\n";
    failure = ExitCode::kUsage;
  }
  return false;
}

bool Commands::FetchPage(const std::string& target,
                         OperatorAnswer& answer,
                         ExitCode& failure) {
  if (!Call("GET", target, "", answer, failure)) {
    if (failure == ExitCode::kOutcomeUnknown) {
      failure = ExitCode::kUnreachable;
    }
    return false;
  }
  if (answer.status != kStatusOk) {
    failure = ReportRefusal(answer);
    return false;
  }
  return true;
}

ExitCode Commands::ReportRefusal(const OperatorAnswer& answer) {
  const json::value* error = answer.body.if_contains("error");
  const json::object fields = error != nullptr && error->is_object()
                                  ? error->get_object()
                                  : json::object();
  const std::string type = FieldText(fields, "type");
  err_ << type << ": " << FieldText(fields, "message") << '\n';
  if (answer.status == kStatusConflict) {
    if (const json::value* current = answer.body.if_contains("current")) {
      err_ << "current: " << PlainText(*current) << '\n';
    }
    return ExitCode::kConflict;
  }
  return type == ChangeUnavailableKindName(
                     ChangeUnavailableKind::kOutcomeUnknown)
             ? ExitCode::kOutcomeUnknown
             : ExitCode::kRefused;
}

bool Commands::FindNodes(std::vector<json::object>& nodes, ExitCode& failure) {
  OperatorAnswer answer;
  if (!FetchPage("/v1/nodes", answer, failure)) {
    return false;
  }
  for (const json::value& node : FieldList(answer.body, "nodes")) {
    if (node.is_object()) {
      nodes.push_back(node.get_object());
    }
  }
  return true;
}

ExitCode Commands::PrintUsage() {
  err_ << HelpFor(Argument(0));
  return ExitCode::kUsage;
}

std::string Commands::Argument(std::size_t index) const {
  return index < line_.arguments.size() ? line_.arguments[index] : "";
}

OperatorClient Commands::MakeClient(const Address& node) const {
  return OperatorClient(node, credential_, line_.timeout);
}

}  // namespace gcw
