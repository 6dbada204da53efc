#include "programs/gcw_standin/command_line.h"

#include <iostream>

#include <boost/program_options/parsers.hpp>

namespace gcw {
namespace {

namespace options = boost::program_options;

options::options_description CommonDescription() {
  options::options_description description("All stand-ins");
  description.add_options()("help", "print this help and exit")(
      "ip", options::value<std::string>()->default_value("127.0.0.1"),
      "IP address to listen on")(
      "port", options::value<std::uint16_t>()->default_value(0),
      "port to listen on; 0 picks a free port")(
      "fault", options::value<std::vector<std::string>>()->composing(),
      "fault to inject from the start, as NAME=VALUE; repeatable; "
      "docs/STANDIN.md lists the names");
  return description;
}

// Converts a setting such as "slow_ms=20" into the body of `POST /faults`. A
// value that is not valid JSON is taken as a string; a missing value means
// true.
std::string FaultMessage(const std::string& setting) {
  const std::size_t equals = setting.find('=');
  const std::string name = setting.substr(0, equals);
  const std::string text =
      equals == std::string::npos ? "true" : setting.substr(equals + 1);
  boost::json::error_code syntax;
  boost::json::value value = boost::json::parse(text, syntax);
  if (syntax) {
    value = ToJson(std::string_view(text));
  }
  return boost::json::serialize(
      boost::json::object{{"name", name}, {"value", std::move(value)}});
}

// Applies the `--fault` options. Prints an error and returns false if one of
// them is invalid.
bool ReadFaults(const options::variables_map& values, Faults& faults) {
  if (values.count("fault") == 0) {
    return true;
  }
  for (const std::string& setting :
       values["fault"].as<std::vector<std::string>>()) {
    Decoded<Faults> changed = ApplyFault(faults, FaultMessage(setting));
    if (!IsOk(changed)) {
      std::cerr << "gcw-standin: invalid --fault " << setting
                << " (expected NAME=VALUE as listed in docs/STANDIN.md): "
                << CodecErrorKindName(ErrorOf(changed).kind) << " in field "
                << ErrorOf(changed).field << '\n';
      return false;
    }
    faults = std::move(ValueOf(changed));
  }
  return true;
}

}  // namespace

std::variant<ParsedCommand, CommandEnded> ParseCommand(
    const std::string& name,
    const std::string& examples,
    const options::options_description& own_options,
    const std::vector<std::string>& arguments) {
  options::options_description description;
  description.add(own_options).add(CommonDescription());
  ParsedCommand parsed;
  try {
    options::store(
        options::command_line_parser(arguments).options(description).run(),
        parsed.values);
    // `--help` works without the required options.
    if (parsed.values.count("help") == 0) {
      options::notify(parsed.values);
    }
  } catch (const options::error& error) {
    std::cerr << "gcw-standin " << name << ": " << error.what()
              << "; for the options run gcw-standin " << name << " --help\n";
    return CommandEnded{kExitUsage};
  }
  if (parsed.values.count("help") > 0) {
    std::cout << "Usage: gcw-standin " << name << " [options]\n"
              << description << "\nExamples\n"
              << examples;
    return CommandEnded{kExitOk};
  }
  parsed.common.ip = parsed.values["ip"].as<std::string>();
  parsed.common.port = parsed.values["port"].as<std::uint16_t>();
  if (!ReadFaults(parsed.values, parsed.common.faults)) {
    return CommandEnded{kExitUsage};
  }
  return parsed;
}

}  // namespace gcw
