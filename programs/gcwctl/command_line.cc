#include "programs/gcwctl/command_line.h"

#include <cstdlib>
#include <map>
#include <sstream>
#include <utility>

#include <boost/program_options.hpp>

namespace gcw {
namespace {

namespace options = boost::program_options;

constexpr std::string_view kUsage =
    "gcwctl [OPTIONS] VERB ...\n\n"
    "Options:\n"
    "  --node ADDRESS[,ADDRESS]  operator addresses of nodes (GCW_NODE), "
    "tried\n"
    "                            in this order until one answers\n"
    "  --credential-file FILE    operator credential (GCW_CREDENTIAL_FILE)\n"
    "  --json                    print JSON instead of a table\n"
    "  --timeout-ms N            response timeout, 15000 by default\n"
    "  --change-id ID            repeat a change whose outcome is unknown\n"
    "  --help                    this help; with a verb, its help\n\n"
    "Verbs:\n"
    "  contract create|show|list|change|withdraw\n"
    "  model    create|show|list|change|withdraw\n"
    "  status   node list|drain   group list|show|drain   limits\n"
    "  block list|lift   evacuation list   route explain\n"
    "  change show REVISION   timeline   why SUBJECT\n\n"
    "Exit codes: 0 success, 2 invalid command line or file, 3 no node "
    "answered,\n"
    "4 conflict: repeat the change with the current revision, 5 refused by "
    "the\n"
    "node, 6 outcome unknown: repeat with the --change-id that was printed.\n";

const std::map<std::string, std::string>& VerbHelp() {
  static const auto& help = *new std::map<std::string, std::string>{
      {"contract",
       "gcwctl contract create FILE\n"
       "gcwctl contract show ID | list\n"
       "gcwctl contract change FILE --expected REVISION\n"
       "gcwctl contract withdraw ID --expected REVISION\n\n"
       "FILE is TOML; see docs/CONTRACTS.md. REVISION is the one that `show`\n"
       "prints. If another operator has changed the contract since, the "
       "command\n"
       "fails with a conflict.\n"
       "\nExamples:\n"
       "  gcwctl contract create branch-notes.toml\n"
       "  gcwctl contract change branch-notes.toml --expected 117\n"},
      {"model",
       "gcwctl model create FILE\n"
       "gcwctl model show ID | list\n"
       "gcwctl model change FILE --expected REVISION\n"
       "gcwctl model withdraw ID --expected REVISION\n\n"
       "Sets which models are served, by how many replica groups of how many "
       "VMs\n"
       "in each data centre. Groups are created and repaired automatically.\n\n"
       "Example:\n"
       "  gcwctl model create notes.toml\n"},
      {"status",
       "gcwctl status\n\nPrints readiness, store, configuration, queues and "
       "roles "
       "of one node.\n\nExample:\n  gcwctl --node 127.0.0.1:8082 status\n"},
      {"node",
       "gcwctl node list\ngcwctl node drain ID\n\n"
       "A draining node is removed from callers' entry lists at once, serves "
       "until\n"
       "callers have moved to other nodes and its requests have ended, and "
       "stops."
       "\n\n"
       "Example:\n  gcwctl node drain lj-1-a\n"},
      {"group",
       "gcwctl group list\ngcwctl group show ID\n"
       "gcwctl group drain ID --domain DOMAIN\n\n"
       "DOMAIN is the fabric domain of the group, which `list` prints.\n\n"
       "Example:\n  gcwctl group drain lj-1-f1-12-3 --domain lj-1-f1\n"},
      {"limits",
       "gcwctl limits\n\nPrints this node's share of each active contract. "
       "`is_floor` is true if no\nowner granted a share "
       "recently.\n\nExample:\n  gcwctl limits\n"},
      {"block",
       "gcwctl block list\ngcwctl block lift FINGERPRINT\n\n"
       "Lists requests under which endpoints of a gateway crashed, with the "
       "VMs, and how\n"
       "long each is still refused; 0 means that it may run. `lift` allows a "
       "request at\n"
       "all nodes and forgets its crashes. Events of requests name the "
       "fingerprint.\n\n"
       "Example:\n  gcwctl --node 127.0.0.1:8229 block lift "
       "842259138472618\n"},
      {"evacuation",
       "gcwctl evacuation list\n\n"
       "Lists the data centres whose endpoints get no requests of a gateway, "
       "and for how\n"
       "long the node has known it.\n\n"
       "Example:\n  gcwctl --node 127.0.0.1:8229 evacuation list\n"},
      {"route",
       "gcwctl route explain --host HOST --path PATH [--model MODEL]\n"
       "                     [--customer CUSTOMER] [--prompt-tokens N]\n"
       "                     [--service SERVICE]\n\n"
       "Prints where one node of a gateway would send such a request now, and "
       "why. Sends\n"
       "no request and changes nothing. HOST is named as in the configuration, "
       "CUSTOMER is\n"
       "a name and not a key. --service selects one of several services of "
       "the route; by\n"
       "default it is the one with the largest weight.\n\n"
       "Example:\n  gcwctl --node 127.0.0.1:8229 route explain --host "
       "models.example \\\n"
       "    --path /small/x --model small --customer paid\n"},
      {"change",
       "gcwctl change show REVISION\n\nPrints on which nodes the revision is "
       "in "
       "force.\n\nExample:\n  gcwctl change show 117\n"},
      {"timeline",
       "gcwctl timeline [--limit N] [--trace FILE] [--logs FILE ...]\n\n"
       "Prints the latest events of all nodes as one list, newest first. "
       "--trace\n"
       "also writes them as a trace-event file for common viewers. With "
       "--logs,\n"
       "events are read from log files instead of nodes; `-` is standard input."
       "\n\n"
       "Examples:\n  gcwctl timeline --trace repair.json\n"
       "  gcwctl timeline --limit 50 --logs gw-1.log gw-2.log\n"},
      {"why",
       "gcwctl why SUBJECT [--logs FILE ...]\n\n"
       "Prints the causes and consequences of the events about a request, "
       "group,\n"
       "contract, VM or node, over all nodes, newest first. Rows with "
       "relation\n"
       "`around` are events of about the same time about VMs, groups or the\n"
       "configuration that the subject depended on. With --logs, events are "
       "read\n"
       "from log files instead of nodes, also of nodes that have ended; `-` "
       "is\n"
       "standard input.\n\n"
       "Examples:\n  gcwctl why lj-1-f1-12-3\n"
       "  gcwctl why 9c41d07be2a35f68 --logs gw-1.log gw-2.log\n"}};
  return help;
}

std::string ReadEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::vector<Address> SplitAddresses(const std::string& text) {
  std::vector<Address> addresses;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');) {
    if (!item.empty()) {
      addresses.emplace_back(item);
    }
  }
  return addresses;
}

options::options_description MakeOptions() {
  options::options_description description;
  options::options_description_easy_init add = description.add_options();
  add("node", options::value<std::string>(), "");
  add("credential-file", options::value<std::string>(), "");
  add("json", "");
  add("help,h", "");
  add("timeout-ms", options::value<std::int64_t>(), "");
  add("expected", options::value<std::int64_t>(), "");
  add("change-id", options::value<std::string>(), "");
  add("logs", options::value<std::vector<std::string>>()->multitoken(), "");
  add("trace", options::value<std::string>(), "");
  add("domain", options::value<std::string>(), "");
  add("limit", options::value<std::int64_t>(), "");
  add("host", options::value<std::string>(), "");
  add("path", options::value<std::string>(), "");
  add("model", options::value<std::string>(), "");
  add("customer", options::value<std::string>(), "");
  add("service", options::value<std::string>(), "");
  add("prompt-tokens", options::value<std::int64_t>(), "");
  add("words", options::value<std::vector<std::string>>(), "");
  return description;
}

template <typename Value>
Value Get(const options::variables_map& values,
          const char* name,
          Value default_value) {
  return values.count(name) > 0 ? values[name].as<Value>()
                                : std::move(default_value);
}

CommandLine MakeCommandLine(const options::variables_map& values) {
  CommandLine line;
  line.nodes = SplitAddresses(Get(values, "node", ReadEnvironment("GCW_NODE")));
  line.credential_file =
      Get(values, "credential-file", ReadEnvironment("GCW_CREDENTIAL_FILE"));
  line.json = values.count("json") > 0;
  line.help = values.count("help") > 0;
  line.timeout =
      Duration::Millis(Get(values, "timeout-ms", line.timeout.millis()));
  if (values.count("expected") > 0) {
    line.expected_revision = values["expected"].as<std::int64_t>();
  }
  line.change_id = Get(values, "change-id", std::string());
  line.trace_file = Get(values, "trace", std::string());
  line.log_files = Get(values, "logs", std::vector<std::string>());
  line.domain = Get(values, "domain", std::string());
  line.limit = Get(values, "limit", line.limit);
  line.route = {Get(values, "host", std::string()),
                Get(values, "path", std::string()),
                Get(values, "model", std::string()),
                Get(values, "customer", std::string()),
                Get(values, "service", std::string()),
                Get(values, "prompt-tokens", line.route.prompt_tokens)};
  line.arguments = Get(values, "words", std::vector<std::string>());
  return line;
}

}  // namespace

Result<CommandLine, UsageError> ParseCommandLine(int argc, char** argv) {
  options::positional_options_description positional;
  positional.add("words", -1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(MakeOptions())
                       .positional(positional)
                       .run(),
                   values);
  } catch (const options::error& error) {
    return UsageError{error.what()};
  }
  return MakeCommandLine(values);
}

std::string HelpFor(const std::string& verb) {
  const auto found = VerbHelp().find(verb);
  return found == VerbHelp().end() ? std::string(kUsage) : found->second;
}

}  // namespace gcw
