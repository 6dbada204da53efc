#include "programs/gcw_load/load_command_line.h"

#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/program_options.hpp>

#include "protocol/protocol.h"

namespace gcw {
namespace {

namespace options = boost::program_options;

using Values = options::variables_map;

constexpr int kMaxThreads = 64;
constexpr double kMaxSeconds = 7.0 * 24 * 3600;
constexpr double kMaxRate = 1e6;
constexpr std::size_t kMaxPromptBytes = 3UL * 1024 * 1024;

constexpr std::string_view kExamples =
    "Examples:\n"
    "  gcw-load --entries 127.0.0.1:8080,127.0.0.1:8081 --model notes \\\n"
    "    --key-file paid=paid.key --key-file trial=trial.key \\\n"
    "    --paid-per-s 50 --trial-per-s 200 --seconds 30\n"
    "  gcw-load --entries 127.0.0.1:8080 --key-file paid=paid.key \\\n"
    "    --service reservations --reservations-per-s 20 --keys-file keys.txt\n"
    "  gcw-load --direct 127.0.0.1:9001 --generation 3 --model notes \\\n"
    "    --paid-per-s 50 --json engine.json\n\n"
    "Each line of the keys file has an idempotency key and its outcome: "
    "answered\n"
    "or replayed (the call ran once), refused (it did not run), unknown (it "
    "ran\n"
    "at most once), violation.\n\n"
    "A broken answer began and ended with an error or a closed connection, so\n"
    "that no caller mistakes it for a complete one. A violation looks "
    "complete\n"
    "and is not, or contains content of another request.\n\n"
    "SIGINT and SIGTERM stop new requests; requests in flight are "
    "completed.\n\n"
    "Exit codes: 0 success without violations, 2 invalid command line, 3 no\n"
    "--entries address answered, 4 a file could not be written, 5 at least "
    "one\n"
    "violation.\n";

// An error in the command line, with a message for the user.
struct UsageError {
  std::string message;
};

template <typename Value>
auto Default(Value value) {
  return options::value<Value>()->default_value(value);
}

options::options_description MakeOptions() {
  options::options_description description("gcw-load");
  const auto add = [&description](const char* name, const auto* value,
                                  const char* text) {
    description.add_options()(name, value, text);
  };
  description.add_options()("help,h", "show this help");
  add("entries", options::value<std::string>(),
      "ADDR[,ADDR]: nodes that are asked for the entry list");
  add("direct", options::value<std::string>(),
      "ADDR: node or engine that gets all requests");
  add("generation", options::value<std::int64_t>(),
      "generation of the engine's group at --direct; adds the headers that "
      "nodes send to engines");
  add("key-file", options::value<std::vector<std::string>>()->composing(),
      "NAME=FILE: key file of the tier `paid` or `trial`; repeatable");
  add("paid-per-s", Default(0.0), "paid model requests per second");
  add("trial-per-s", Default(0.0), "trial model requests per second");
  add("reservations-per-s", Default(0.0),
      "at-most-once service calls per second, with the paid key");
  add("seconds", Default(10.0), "duration of the arrivals in seconds");
  add("seed", Default(std::uint64_t{1}),
      "random seed of the arrivals and of the choice of addresses");
  add("model", Default(std::string()), "model to request");
  add("service", Default(std::string("reservations")),
      "plain service that takes reservations");
  add("max-tokens", Default(std::int64_t{16}), "maximum tokens of an answer");
  add("prompt-bytes", Default(std::size_t{256}), "prompt length in bytes");
  add("shared-prefix-bytes", Default(std::size_t{0}),
      "length of the prefix that all prompts have in common");
  add("whole-share", options::value<double>()->default_value(0.2, "0.2"),
      "share of model requests that are not streamed");
  add("timeout-ms", Default(std::int64_t{30000}), "timeout of each send");
  add("resends", Default(3),
      "maximum resends of a reservation, with the same idempotency key");
  add("most-open", Default(std::int64_t{5000}),
      "maximum concurrent requests; further arrivals are skipped and counted");
  description.add_options()(
      "no-reference", "do not compare answers with those of the stand-ins");
  add("threads", Default(1), "worker threads");
  add("json", Default(std::string()), "output file for the JSON report");
  add("keys-file", Default(std::string()),
      "output file for the reservations' idempotency keys and outcomes");
  return description;
}

template <typename Value>
Value Get(const Values& values, const char* name) {
  return values[name].as<Value>();
}

// Returns a number in [min, max], and throws UsageError otherwise.
template <typename Value>
Value GetInRange(const Values& values, const char* name, Value min, Value max) {
  const Value value = Get<Value>(values, name);
  // Written so that NaN fails.
  if (!(value >= min && value <= max)) {
    throw UsageError{"--" + std::string(name) + " must be from " +
                     std::to_string(min) + " to " + std::to_string(max)};
  }
  return value;
}

Address ReadAddress(const std::string& text) {
  Address address(text);
  if (!ParseAddress(address)) {
    throw UsageError{
        "invalid address, expected IP:PORT such as 127.0.0.1:8080: " + text};
  }
  return address;
}

Secret ReadKey(const std::string& path) {
  std::ifstream file(path);
  std::string key((std::istreambuf_iterator<char>(file)), {});
  boost::algorithm::trim(key);
  if (key.empty()) {
    throw UsageError{"cannot read a key from file " + path};
  }
  return Secret(std::move(key));
}

void ReadKeys(const Values& values, LoadSettings& settings) {
  if (values.count("key-file") == 0) {
    return;
  }
  for (const std::string& setting :
       Get<std::vector<std::string>>(values, "key-file")) {
    const std::size_t equals = setting.find('=');
    const std::string name = setting.substr(0, equals);
    if (equals == std::string::npos || (name != "paid" && name != "trial")) {
      throw UsageError{"--key-file must be paid=FILE or trial=FILE"};
    }
    Secret& key = name == "paid" ? settings.paid_key : settings.trial_key;
    key = ReadKey(setting.substr(equals + 1));
  }
}

void ReadTargets(const Values& values, LoadSettings& settings) {
  if (values.count("entries") + values.count("direct") != 1) {
    throw UsageError{"exactly one of --entries and --direct is required"};
  }
  if (values.count("direct") > 0) {
    settings.direct = ReadAddress(Get<std::string>(values, "direct"));
  } else {
    std::vector<std::string> parts;
    boost::algorithm::split(parts, Get<std::string>(values, "entries"),
                            boost::algorithm::is_any_of(","));
    for (const std::string& part : parts) {
      settings.entries.push_back(ReadAddress(part));
    }
  }
  if (values.count("generation") == 0) {
    return;
  }
  if (!settings.direct) {
    throw UsageError{"--generation requires --direct"};
  }
  settings.generation = Generation(Get<std::int64_t>(values, "generation"));
}

void ReadArrivals(const Values& values, LoadSettings& settings) {
  ArrivalPlan::Settings& arrivals = settings.arrivals;
  arrivals.paid_rate = GetInRange(values, "paid-per-s", 0.0, kMaxRate);
  arrivals.trial_rate = GetInRange(values, "trial-per-s", 0.0, kMaxRate);
  arrivals.reservation_rate =
      GetInRange(values, "reservations-per-s", 0.0, kMaxRate);
  arrivals.whole_share = GetInRange(values, "whole-share", 0.0, 1.0);
  const std::chrono::duration<double> length(
      GetInRange(values, "seconds", 0.0, kMaxSeconds));
  arrivals.length =
      std::chrono::duration_cast<std::chrono::microseconds>(length);
  settings.seed = Get<std::uint64_t>(values, "seed");
}

void ReadRequests(const Values& values, LoadSettings& settings) {
  settings.model = ModelId(Get<std::string>(values, "model"));
  settings.service = Get<std::string>(values, "service");
  settings.max_tokens = TokenCount(GetInRange<std::int64_t>(
      values, "max-tokens", 1, ChatRequest::kMaxMaxTokens));
  settings.prompts.bytes =
      GetInRange<std::size_t>(values, "prompt-bytes", 0, kMaxPromptBytes);
  settings.prompts.shared_prefix_bytes = GetInRange<std::size_t>(
      values, "shared-prefix-bytes", 0, kMaxPromptBytes);
  settings.timeout = Duration::Millis(GetInRange<std::int64_t>(
      values, "timeout-ms", 1, Duration::Seconds(24L * 3600).millis()));
  settings.max_resends = GetInRange(values, "resends", 0, 1000);
  settings.max_in_flight =
      GetInRange<std::int64_t>(values, "most-open", 1, 1'000'000);
  settings.reference = values.count("no-reference") == 0;
  settings.threads = GetInRange(values, "threads", 1, kMaxThreads);
  settings.json_file = Get<std::string>(values, "json");
  settings.keys_file = Get<std::string>(values, "keys-file");
}

// Throws UsageError on settings with which every request would fail.
void CheckRequiredOptions(const LoadSettings& settings) {
  const ArrivalPlan::Settings& arrivals = settings.arrivals;
  if (arrivals.paid_rate + arrivals.trial_rate + arrivals.reservation_rate <=
      0) {
    throw UsageError{
        "at least one of --paid-per-s, --trial-per-s and "
        "--reservations-per-s must be positive"};
  }
  if (arrivals.paid_rate + arrivals.trial_rate > 0 && settings.model.empty()) {
    throw UsageError{"--model is required with --paid-per-s or --trial-per-s"};
  }
  if (settings.direct) {
    return;
  }
  if (arrivals.paid_rate + arrivals.reservation_rate > 0 &&
      settings.paid_key.empty()) {
    throw UsageError{
        "--key-file paid=FILE is required with --paid-per-s or "
        "--reservations-per-s"};
  }
  if (arrivals.trial_rate > 0 && settings.trial_key.empty()) {
    throw UsageError{"--key-file trial=FILE is required with --trial-per-s"};
  }
}

}  // namespace

std::variant<LoadSettings, LoadExitCode> ReadLoadCommandLine(
    const std::vector<std::string>& arguments) {
  const options::options_description description = MakeOptions();
  std::string error_message;
  try {
    Values values;
    options::store(
        options::command_line_parser(arguments).options(description).run(),
        values);
    if (values.count("help") > 0) {
      std::cout << description << '\n' << kExamples;
      return LoadExitCode::kDone;
    }
    LoadSettings settings;
    ReadTargets(values, settings);
    ReadKeys(values, settings);
    ReadArrivals(values, settings);
    ReadRequests(values, settings);
    CheckRequiredOptions(settings);
    return settings;
  } catch (const options::error& error) {
    error_message = error.what();
  } catch (const UsageError& error) {
    error_message = error.message;
  }
  std::cerr << "gcw-load: " << error_message << "; see gcw-load --help\n";
  return LoadExitCode::kUsage;
}

}  // namespace gcw
