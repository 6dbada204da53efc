// Commands that write and list settings: contracts and models.

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

// Makes a change id from the time and the process id, so that another run is
// unlikely to use the same one.
std::string NewChangeId() {
  return "gcwctl-" + std::to_string(SystemClock()().millis()) + "-" +
         std::to_string(getpid());
}

}  // namespace

ExitCode Commands::RunSettingCommand(const SettingType& setting_type) {
  const std::string action = Argument(1);
  if (action == "list") {
    return ListSettings(setting_type);
  }
  if (Argument(2).empty()) {
    return PrintUsage();
  }
  if (action == "show") {
    return ShowPage("/v1/" + setting_type.collection + "/" + Argument(2));
  }
  if (action == "create" || action == "change") {
    return WriteSetting(setting_type, action == "create");
  }
  if (action == "withdraw") {
    return Withdraw(setting_type);
  }
  return PrintUsage();
}

ExitCode Commands::WriteSetting(const SettingType& setting_type, bool create) {
  if (!create && !line_.expected_revision) {
    err_ << "--expected REVISION is required; `gcwctl " << setting_type.name
         << " show ID` prints the current revision\n";
    return ExitCode::kUsage;
  }
  const ReadDocument read = setting_type.name == "contract"
                                ? ReadContractFile(Argument(2))
                                : ReadModelFile(Argument(2));
  if (const auto* errors = std::get_if<std::vector<SettingError>>(&read)) {
    for (const SettingError& error : *errors) {
      err_ << error << '\n';
    }
    return ExitCode::kUsage;
  }
  const auto& document = std::get<SettingDocument>(read);
  return SendChange("PUT", "/v1/" + setting_type.collection + "/" + document.id,
                    line_.expected_revision.value_or(0), document.text);
}

ExitCode Commands::Withdraw(const SettingType& setting_type) {
  if (!line_.expected_revision) {
    err_ << "--expected REVISION is required; `gcwctl " << setting_type.name
         << " show ID` prints the current revision\n";
    return ExitCode::kUsage;
  }
  return SendChange("DELETE",
                    "/v1/" + setting_type.collection + "/" + Argument(2),
                    *line_.expected_revision, "");
}

ExitCode Commands::SendChange(const std::string& method,
                              const std::string& path,
                              std::int64_t expected,
                              const std::string& body) {
  const std::string change =
      line_.change_id.empty() ? NewChangeId() : line_.change_id;
  OperatorAnswer answer;
  ExitCode failure = ExitCode::kUnreachable;
  const bool answered = Call(method,
                             path + "?expected=" + std::to_string(expected) +
                                 "&change=" + EscapeQuery(change),
                             body, answer, failure);
  if (!answered) {
    if (failure == ExitCode::kOutcomeUnknown) {
      err_ << "repeat the command with --change-id " << change
           << " to learn its outcome\n";
    }
    return failure;
  }
  if (answer.status != kStatusOk) {
    const ExitCode refused = ReportRefusal(answer);
    if (refused == ExitCode::kOutcomeUnknown) {
      err_ << "repeat the command with --change-id " << change
           << " to learn its outcome\n";
    }
    return refused;
  }
  if (line_.json) {
    out_ << json::serialize(answer.body) << '\n';
  } else {
    out_ << "accepted at revision " << FieldText(answer.body, "revision")
         << '\n';
  }
  return ExitCode::kDone;
}

ExitCode Commands::ListSettings(const SettingType& setting_type) {
  OperatorAnswer answer;
  ExitCode failure = ExitCode::kUnreachable;
  if (!FetchPage("/v1/" + setting_type.collection, answer, failure)) {
    return failure;
  }
  if (line_.json) {
    out_ << json::serialize(answer.body) << '\n';
    return ExitCode::kDone;
  }
  json::array rows;
  for (const json::value& item :
       FieldList(answer.body, setting_type.collection)) {
    json::object row = item.get_object();
    if (row["value"].is_object()) {
      for (const auto& field : json::object(row["value"].get_object())) {
        row[field.key()] = field.value();
      }
    }
    rows.emplace_back(std::move(row));
  }
  const std::vector<std::string> columns =
      setting_type.name == "contract"
          ? std::vector<std::string>{"id",
                                     "tier",
                                     "rank",
                                     "models",
                                     "services",
                                     "requests_per_second",
                                     "tokens_per_second",
                                     "concurrency",
                                     "revision"}
          : std::vector<std::string>{"model", "vms_per_group", "rank",
                                     "targets", "revision"};
  PrintTable(rows, columns, out_);
  return ExitCode::kDone;
}

}  // namespace gcw
