#include "programs/gcw_standin/commands.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <utility>

#include <boost/asio/signal_set.hpp>

#include "programs/gcw_standin/command_line.h"
#include "programs/gcw_standin/endpoint_http_frontend.h"
#include "programs/gcw_standin/engine_http_frontend.h"
#include "programs/gcw_standin/platform_http_frontend.h"
#include "programs/gcw_standin/service_http_frontend.h"
#include "programs/gcw_standin/store_http_frontend.h"
#include "programs/gcw_standin/vm_list_http_frontend.h"
#include "programs/gcw_standin/weight_store_http_frontend.h"

namespace gcw {
namespace {

namespace options = boost::program_options;

using Description = options::options_description;
using Arguments = std::vector<std::string>;

template <typename Value>
auto Default(Value value) {
  return options::value<Value>()->default_value(value);
}

template <typename Value>
Value Get(const ParsedCommand& parsed, const char* name) {
  return parsed.values[name].as<Value>();
}

Duration GetMillis(const ParsedCommand& parsed, const char* name) {
  return Duration::Millis(Get<std::int64_t>(parsed, name));
}

std::string_view ListenErrorName(ListenErrorKind kind) {
  switch (kind) {
    case ListenErrorKind::kAddressMalformed:
      return "not an IP address; give one with --ip";
    case ListenErrorKind::kAddressInUse:
      return "address already in use; choose another --port, or 0 for a free "
             "port";
    case ListenErrorKind::kRefused:
      return "refused by the system; check that --ip is an address of this "
             "machine and that --port is allowed";
  }
  return "unknown error";
}

// Runs a stand-in until SIGTERM or SIGINT. `make_frontend(server)` creates the
// object that answers its requests.
template <typename MakeFrontend>
int Serve(const std::string& name,
          const CommonOptions& common,
          MakeFrontend make_frontend) {
  boost::asio::io_context context;
  StandinServer server(context, common.faults);
  auto frontend = make_frontend(server);
  const auto listening =
      server.Listen(name, common.ip, common.port, frontend->MakeHooks());
  if (!IsOk(listening)) {
    std::cerr << "gcw-standin " << name << ": cannot listen on " << common.ip
              << ':' << common.port << ": "
              << ListenErrorName(ErrorOf(listening).kind) << '\n';
    return kExitListen;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&context](boost::system::error_code, int) { context.stop(); });
  context.run();
  server.Close();
  return kExitOk;
}

int RunStore(const ParsedCommand& parsed) {
  StandinStore::Settings settings;
  settings.calls_per_second = Get<double>(parsed, "calls-per-s");
  settings.writes_per_second = Get<double>(parsed, "writes-per-s");
  settings.history = Get<std::size_t>(parsed, "history");
  settings.first_revision =
      Revision(Get<std::int64_t>(parsed, "first-revision"));
  return Serve("store", parsed.common, [&](StandinServer& server) {
    return std::make_unique<StoreHttpFrontend>(server, settings);
  });
}

Description StoreOptions() {
  Description description("Key-value service");
  description.add_options()(
      "calls-per-s", Default(2000.0),
      "calls accepted per second; more are refused with status 429; 0 for "
      "no limit")(
      "writes-per-s", Default(400.0),
      "writes accepted per second; more are refused with status 429; 0 for no "
      "limit")("history", Default(std::size_t{10000}),
               "changes kept for watches; older ones are compacted")(
      "first-revision", Default(std::int64_t{1}),
      "first value of the revision counter");
  return description;
}

// Reads the VM list from a file in the format of `GET /vms`. Returns an empty
// list if `path` is empty.
Decoded<VmListSnapshot> ReadVmFile(const std::string& path) {
  if (path.empty()) {
    return VmListSnapshot{};
  }
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  return DecodeVmList(text);
}

int RunVmList(const ParsedCommand& parsed) {
  const std::string path = Get<std::string>(parsed, "vms");
  const auto vms = ReadVmFile(path);
  if (!IsOk(vms)) {
    std::cerr << "gcw-standin vmlist: cannot read --vms file " << path
              << " (expected JSON as returned by GET /vms): "
              << CodecErrorKindName(ErrorOf(vms).kind) << " in field "
              << ErrorOf(vms).field << '\n';
    return kExitUsage;
  }
  return Serve("vmlist", parsed.common, [&](StandinServer& server) {
    return std::make_unique<VmListHttpFrontend>(server, ValueOf(vms).vms);
  });
}

Description VmListOptions() {
  Description description("VM list");
  description.add_options()(
      "vms", Default(std::string()),
      "JSON file with the initial list, in the format of GET /vms");
  return description;
}

int RunPlatform(const ParsedCommand& parsed) {
  PlatformHttpFrontendSettings settings;
  settings.ip = parsed.common.ip;
  settings.domains = Get<int>(parsed, "domains");
  settings.vms_per_domain = Get<int>(parsed, "vms");
  settings.plain_processes = Get<int>(parsed, "plain");
  settings.time_scale = Get<double>(parsed, "time-scale");
  settings.store.history = Get<std::size_t>(parsed, "history");
  return Serve("platform", parsed.common, [&](StandinServer& server) {
    return std::make_unique<PlatformHttpFrontend>(server, settings);
  });
}

Description PlatformOptions() {
  Description description("The users' platform: store, operator, endpoints");
  description.add_options()("domains", Default(1), "number of fabric domains")(
      "vms", Default(11), "number of VMs in each domain")(
      "plain", Default(2), "number of processes of the plain service")(
      "time-scale", Default(0.05),
      "factor by which load and warm-up times are multiplied")(
      "history", Default(std::size_t{10000}),
      "changes kept for watches; older ones are compacted");
  return description;
}

EndpointHttpFrontend::Settings EndpointSettings(const ParsedCommand& parsed) {
  EndpointHttpFrontend::Settings settings;
  settings.platform = Address(Get<std::string>(parsed, "platform"));
  settings.ip = parsed.common.ip;
  PlatformEngine::Settings& engine = settings.engine;
  engine.event_interval = GetMillis(parsed, "event-ms");
  engine.events = Get<int>(parsed, "events");
  engine.time_scale = Get<double>(parsed, "time-scale");
  VmRegistration& registration = engine.registration;
  registration.id = VmId(Get<std::string>(parsed, "vm"));
  registration.zone = ZoneId("zone-1");
  registration.domain = FabricDomainId(Get<std::string>(parsed, "domain"));
  if (registration.domain.empty()) {
    registration.service = ServiceId("desk");
    registration.slots = 6;
    return settings;
  }
  registration.service = ServiceId("llm");
  engine.engine = StandinEngineProfile();
  registration.slots = engine.engine->batch_limit;
  return settings;
}

int RunEndpoint(const ParsedCommand& parsed) {
  const EndpointHttpFrontend::Settings settings = EndpointSettings(parsed);
  if (settings.engine.event_interval <= Duration()) {
    std::cerr << "gcw-standin endpoint: --event-ms must be positive\n";
    return kExitUsage;
  }
  return Serve("endpoint", parsed.common, [&](StandinServer& server) {
    return std::make_unique<EndpointHttpFrontend>(server, settings);
  });
}

Description EndpointOptions() {
  const PlatformEngine::Settings engine;
  Description description("One endpoint of the users' platform");
  description.add_options()("vm", options::value<std::string>()->required(),
                            "id of the VM")(
      "platform", options::value<std::string>()->required(),
      "IP:PORT of the platform's stand-in")(
      "domain", Default(std::string()),
      "fabric domain of a model engine; if empty, the endpoint is a process of "
      "the plain service")("event-ms", Default(engine.event_interval.millis()),
                           "milliseconds between two events of a stream")(
      "events", Default(engine.events), "events of a stream")(
      "time-scale", Default(engine.time_scale),
      "factor by which load and warm-up times are multiplied");
  return description;
}

int RunWeights(const ParsedCommand& parsed) {
  const auto rate = Get<std::int64_t>(parsed, "bytes-per-s");
  if (rate <= 0) {
    std::cerr << "gcw-standin weights: --bytes-per-s must be positive\n";
    return kExitUsage;
  }
  return Serve("weights", parsed.common, [&](StandinServer& server) {
    return std::make_unique<WeightStoreHttpFrontend>(server, rate);
  });
}

Description WeightsOptions() {
  Description description("Weight store");
  description.add_options()(
      "bytes-per-s", Default(std::int64_t{2000000000}),
      "bytes per second; fetches are served one at a time");
  return description;
}

EngineHttpFrontend::Settings EngineSettings(const ParsedCommand& parsed) {
  EngineHttpFrontend::Settings settings;
  settings.weight_store = Address(Get<std::string>(parsed, "weights"));
  settings.shard_bytes = Get<std::int64_t>(parsed, "shard-bytes");
  EngineMember::Settings& member = settings.engine.member;
  member.vm = VmId(Get<std::string>(parsed, "vm"));
  member.incarnation = Incarnation(SystemClock()().millis());
  member.load_time = GetMillis(parsed, "load-ms");
  member.uses_weight_store = !settings.weight_store.empty();
  member.member_timeout = GetMillis(parsed, "member-timeout-ms");
  Batch::Settings& batch = settings.engine.batch;
  batch.batch_limit = Get<std::int64_t>(parsed, "batch-limit");
  batch.prefill_tokens_per_second =
      Get<std::int64_t>(parsed, "prefill-tokens-per-s");
  batch.step = GetMillis(parsed, "step-ms");
  batch.cache_blocks = Get<std::size_t>(parsed, "cache-blocks");
  settings.engine.events.capacity = Get<std::size_t>(parsed, "cache-events");
  settings.engine.queue_limit = Get<std::int64_t>(parsed, "queue-limit");
  return settings;
}

int RunEngine(const ParsedCommand& parsed) {
  const EngineHttpFrontend::Settings settings = EngineSettings(parsed);
  const Batch::Settings& batch = settings.engine.batch;
  if (batch.step <= Duration() || batch.prefill_tokens_per_second <= 0) {
    std::cerr << "gcw-standin engine: --step-ms and --prefill-tokens-per-s "
                 "must be positive\n";
    return kExitUsage;
  }
  CommonOptions common = parsed.common;
  common.faults.ignore_fence |= parsed.values.count("ignore-fence") > 0;
  return Serve("engine", common, [&](StandinServer& server) {
    return std::make_unique<EngineHttpFrontend>(server, settings);
  });
}

Description EngineOptions() {
  const Batch::Settings batch;
  Description description("Model engine of one VM");
  description.add_options()("vm", options::value<std::string>()->required(),
                            "id of the VM")(
      "weights", Default(std::string()),
      "IP:PORT of the weight store; if empty, nothing is fetched")(
      "shard-bytes", Default(std::int64_t{1000000000}),
      "bytes to fetch for each load")(
      "load-ms", Default(std::int64_t{0}),
      "milliseconds that a load takes after the fetch")(
      "ignore-fence", "carry out orders with a stale fencing token")(
      "member-timeout-ms", Default(std::int64_t{700}),
      "milliseconds without an answer after which a group member counts as "
      "lost")("batch-limit", Default(batch.batch_limit),
              "requests that run concurrently")(
      "prefill-tokens-per-s", Default(batch.prefill_tokens_per_second),
      "prompt tokens computed per second")(
      "step-ms", Default(batch.step.millis()),
      "milliseconds between two tokens of a request")(
      "cache-blocks", Default(batch.cache_blocks),
      "capacity of the prefix cache, in blocks of 64 bytes")(
      "cache-events", Default(std::size_t{4096}),
      "cache events kept for readers")(
      "queue-limit", Default(std::int64_t{256}),
      "queued requests; more are refused with status 503");
  return description;
}

int RunService(const ParsedCommand& parsed) {
  const StandinService::Settings settings{
      .endpoint = EndpointId(Get<std::string>(parsed, "vm"))};
  const Duration delay = GetMillis(parsed, "delay-ms");
  return Serve("service", parsed.common, [&](StandinServer& server) {
    return std::make_unique<ServiceHttpFrontend>(server, settings, delay);
  });
}

Description ServiceOptions() {
  Description description("Plain service");
  description.add_options()("vm", options::value<std::string>()->required(),
                            "id of the VM")(
      "delay-ms", Default(std::int64_t{5}), "milliseconds that a call takes");
  return description;
}

struct Command {
  const char* name;
  Description (*describe)();
  int (*run)(const ParsedCommand&);
  const char* examples;
};

constexpr Command kCommands[] = {
    {"store", StoreOptions, RunStore,
     "  gcw-standin store --port 7001\n"
     "  gcw-standin store --writes-per-s 100 --fault lose_answer=1\n"},
    {"vmlist", VmListOptions, RunVmList,
     "  gcw-standin vmlist --port 7002 --vms vms.json --fault lag_ms=3000\n"},
    {"platform", PlatformOptions, RunPlatform,
     "  gcw-standin platform --port 7005 --domains 2 --vms 11\n"},
    {"endpoint", EndpointOptions, RunEndpoint,
     "  gcw-standin endpoint --vm vm-1 --platform 127.0.0.1:7005 --domain d\n"},
    {"weights", WeightsOptions, RunWeights,
     "  gcw-standin weights --port 7003 --bytes-per-s 500000000\n"},
    {"engine", EngineOptions, RunEngine,
     "  gcw-standin engine --vm vm-1 --ip 127.0.0.11 --load-ms 200\n"
     "  gcw-standin engine --vm vm-2 --weights 127.0.0.1:7003 "
     "--ignore-fence\n"},
    {"service", ServiceOptions, RunService,
     "  gcw-standin service --vm vm-3 --delay-ms 20 --fault slow_ms=500\n"},
};

int PrintUsage(std::ostream& out, int exit_status) {
  out << "Usage: gcw-standin COMMAND [options]\n\nCommands\n";
  for (const Command& command : kCommands) {
    out << "  " << command.name << '\n';
  }
  out << "\nEach command prints one JSON line with its address and port once "
         "it listens,\nand exits on SIGTERM or SIGINT. gcw-standin COMMAND "
         "--help lists its options;\ndocs/STANDIN.md describes the "
         "faults.\n\nExamples\n";
  for (const Command& command : kCommands) {
    out << command.examples;
  }
  return exit_status;
}

}  // namespace

int RunStandin(const std::vector<std::string>& arguments) {
  if (arguments.empty() || arguments.front() == "--help") {
    return PrintUsage(std::cout, arguments.empty() ? kExitUsage : kExitOk);
  }
  const Arguments rest(arguments.begin() + 1, arguments.end());
  for (const Command& command : kCommands) {
    if (arguments.front() != command.name) {
      continue;
    }
    const auto parsed =
        ParseCommand(command.name, command.examples, command.describe(), rest);
    if (const auto* ended = std::get_if<CommandEnded>(&parsed)) {
      return ended->exit_status;
    }
    return command.run(std::get<ParsedCommand>(parsed));
  }
  std::cerr << "gcw-standin: unknown command " << arguments.front() << "\n\n";
  return PrintUsage(std::cerr, kExitUsage);
}

}  // namespace gcw
