#include "programs/gcwctl/setting_files.h"

#include <filesystem>
#include <fstream>
#include <optional>
#include <utility>

#include <toml++/toml.h>

namespace gcw {
namespace {

constexpr std::size_t kMinKeyLength = 8;
constexpr TextRange kIdText{1, 64};

SettingError MakeError(SettingErrorKind kind,
                       const std::string& path,
                       std::string key,
                       std::string allowed) {
  SettingError error;
  error.kind = kind;
  error.file = path;
  error.key = std::move(key);
  error.allowed = std::move(allowed);
  return error;
}

// Returns the digest of a file's first line, which is the key.
std::optional<KeyDigest> DigestKeyFile(const std::filesystem::path& path) {
  std::ifstream in(path);
  std::string key;
  if (!std::getline(in, key) || key.size() < kMinKeyLength) {
    return std::nullopt;
  }
  return ComputeKeyDigest(key);
}

// A contract and those settings of its file that are converted after parsing.
struct RawContract {
  Contract contract;
  std::vector<std::string> models;
  std::vector<std::string> services;
  std::vector<std::string> key_files;
  std::vector<std::string> key_digests;
  std::int64_t valid_from_ms = 0;
  std::int64_t valid_until_ms = 0;
};

void DeclareContract(RawContract& raw, SettingsReader& reader) {
  Contract& contract = raw.contract;
  reader.Add("id", &contract.id, kIdText, "Name of the contract.",
             SettingPresence::kRequired);
  reader.Add("customer", &contract.customer, TextRange{1, 256},
             "Customer of the contract.", SettingPresence::kRequired);
  reader.AddChoice<Tier>("tier", &contract.tier,
                         {{"paid", Tier::kPaid}, {"trial", Tier::kTrial}},
                         "Paid requests have priority over trial requests.",
                         SettingPresence::kRequired);
  reader.Add("rank", &contract.rank, IntegerRange{0, ContractBuilder::kMaxRank},
             "Priority within the tier; lower numbers are served first.");
  reader.Add("models", &raw.models, ListRange{},
             "Models that the contract may use.");
  reader.Add("services", &raw.services, ListRange{},
             "Plain services that the contract may call.");
  reader.Add("requests_per_second", &contract.requests_per_second,
             NumberRange{0, ContractBuilder::kMaxRequestsPerSecond},
             "Maximum, over all nodes.", SettingPresence::kRequired);
  reader.Add("tokens_per_second", &contract.tokens_per_second,
             NumberRange{0, ContractBuilder::kMaxTokensPerSecond},
             "Maximum of prompt and generated tokens, over all nodes.");
  reader.Add("concurrency", &contract.concurrency,
             IntegerRange{1, ContractBuilder::kMaxConcurrency},
             "Maximum concurrent requests, over all nodes.",
             SettingPresence::kRequired);
  reader.Add("valid_from_ms", &raw.valid_from_ms, IntegerRange{0},
             "Start of validity in Unix milliseconds.");
  reader.Add("valid_until_ms", &raw.valid_until_ms, IntegerRange{0},
             "End of validity in Unix milliseconds; 0 for no end.");
  reader.Add("key_files", &raw.key_files, ListRange{},
             "Files with callers' keys.");
  reader.Add("key_digests", &raw.key_digests, ListRange{},
             "SHA-256 digests of callers' keys.");
}

std::vector<SettingError> ReadKeys(const std::string& path, RawContract& raw) {
  std::vector<SettingError> errors;
  const std::filesystem::path folder =
      std::filesystem::path(path).parent_path();
  for (const std::string& file : raw.key_files) {
    if (const std::optional<KeyDigest> digest = DigestKeyFile(folder / file)) {
      raw.contract.keys.insert(*digest);
    } else {
      errors.push_back(
          MakeError(SettingErrorKind::kSecretUnreadable, path, "key_files",
                    "readable files whose first line has at least 8 "
                    "characters"));
    }
  }
  for (const std::string& digest : raw.key_digests) {
    raw.contract.keys.insert(KeyDigest(digest));
  }
  return errors;
}

std::optional<GroupTarget> ReadTarget(const toml::table& table) {
  GroupTarget target;
  const std::optional<std::int64_t> min_groups =
      table["wanted"].value<std::int64_t>();
  if (!min_groups || *min_groups < 0) {
    return std::nullopt;
  }
  target.min_groups = *min_groups;
  target.max_groups = table["most"].value<std::int64_t>().value_or(*min_groups);
  if (target.max_groups < target.min_groups) {
    return std::nullopt;
  }
  return target;
}

// Reads the array of tables `targets`, which SettingsReader does not support.
std::vector<SettingError> ReadTargets(const std::string& path,
                                      const toml::table& file,
                                      DesiredModel& model) {
  std::vector<SettingError> errors;
  const toml::array* targets = file["targets"].as_array();
  if (targets == nullptr) {
    errors.push_back(MakeError(SettingErrorKind::kMissing, path, "targets",
                               "[[targets]] with zone, wanted and most"));
    return errors;
  }
  for (const toml::node& node : *targets) {
    const toml::table* table = node.as_table();
    const std::optional<GroupTarget> target =
        table == nullptr ? std::nullopt : ReadTarget(*table);
    const std::optional<std::string> zone =
        table == nullptr ? std::nullopt : (*table)["zone"].value<std::string>();
    if (!target || !zone ||
        !model.targets.emplace(ZoneId(*zone), *target).second) {
      errors.push_back(
          MakeError(SettingErrorKind::kOutOfRange, path, "targets",
                    "each zone once, wanted >= 0, most >= wanted"));
    }
  }
  return errors;
}

std::vector<SettingError> ReadModelTable(const std::string& path,
                                         const toml::table& file,
                                         DesiredModel& model) {
  std::vector<SettingError> errors = ReadTargets(path, file, model);
  const std::string name = file["model"].value_or(std::string());
  if (name.empty()) {
    errors.push_back(
        MakeError(SettingErrorKind::kMissing, path, "model", "text"));
  }
  model.model = ModelId(name);
  model.vms_per_group = file["vms_per_group"].value_or(std::int64_t{0});
  if (model.vms_per_group < 1) {
    errors.push_back(MakeError(SettingErrorKind::kOutOfRange, path,
                               "vms_per_group", "at least 1"));
  }
  model.rank = Rank(file["rank"].value_or(std::int64_t{0}));
  for (const auto& [key, value] : file) {
    const std::string_view text = key.str();
    if (text != "model" && text != "vms_per_group" && text != "rank" &&
        text != "targets") {
      errors.push_back(MakeError(SettingErrorKind::kUnknownKey, path,
                                 std::string(text),
                                 "model, vms_per_group, rank, targets"));
    }
  }
  return errors;
}

}  // namespace

ReadDocument ReadContractFile(const std::string& path) {
  RawContract raw;
  SettingsReader reader;
  DeclareContract(raw, reader);
  std::vector<SettingError> errors = reader.ReadFile(path);
  if (errors.empty()) {
    errors = ReadKeys(path, raw);
  }
  if (!errors.empty()) {
    return errors;
  }
  for (const std::string& model : raw.models) {
    raw.contract.models.insert(ModelId(model));
  }
  for (const std::string& service : raw.services) {
    raw.contract.services.insert(ServiceId(service));
  }
  raw.contract.valid_from = Time::FromMillis(raw.valid_from_ms);
  if (raw.valid_until_ms > 0) {
    raw.contract.valid_until = Time::FromMillis(raw.valid_until_ms);
  }
  if (const std::optional<ContractError> fault = Validate(raw.contract)) {
    return std::vector<SettingError>{MakeError(
        SettingErrorKind::kOutOfRange, path, std::string(fault->field),
        std::string(ContractErrorKindName(fault->kind)))};
  }
  return SettingDocument{raw.contract.id.value(), EncodeContract(raw.contract)};
}

ReadDocument ReadModelFile(const std::string& path) {
  toml::table file;
  try {
    file = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    SettingError fault = MakeError(SettingErrorKind::kSyntax, path, "",
                                   std::string(error.description()));
    fault.line = static_cast<int>(error.source().begin.line);
    return std::vector<SettingError>{std::move(fault)};
  }
  DesiredModel model;
  std::vector<SettingError> errors = ReadModelTable(path, file, model);
  if (!errors.empty()) {
    return errors;
  }
  return SettingDocument{model.model.value(), EncodeDesiredModel(model)};
}

}  // namespace gcw
