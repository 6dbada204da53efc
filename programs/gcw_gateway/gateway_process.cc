#include "programs/gcw_gateway/gateway_process.h"

#include <unistd.h>

#include <csignal>
#include <optional>
#include <random>
#include <sstream>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "platform/platform.h"

namespace gcw {
namespace {

// The concurrency hint for Asio, which omits locks for a single thread.
constexpr int kThreads = 1;

// The limit of the buffer for log lines while nobody reads standard output.
constexpr std::size_t kMaxBufferedLogBytes = 256UL * 1024;

std::string_view LogClassName(LogClass log_class) {
  switch (log_class) {
    case LogClass::kStateChange:
      return "belief";
    case LogClass::kRequestFailure:
      return "trouble";
    case LogClass::kRequestProgress:
      return "success";
  }
  return "unknown";
}

void LogDroppedLines(LogClass log_class, std::int64_t left_out) {
  LogEvent(
      LogSeverity::kWarning, "log_lines_left_out",
      {{"class", std::string(LogClassName(log_class))}, {"lines", left_out}});
}

GatewayCore::Codecs MakeCodecs() {
  GatewayCore::Codecs codecs;
  codecs.fleet = MakePlatformFleetCodec();
  codecs.domain_record.encode = EncodeDomainRecord;
  codecs.domain_record.decode =
      [](std::string_view text) -> std::optional<DomainRecord> {
    Decoded<DomainRecord> decoded = DecodeDomainRecord(text);
    if (!IsOk(decoded)) {
      LogEvent(LogSeverity::kError, "store_value_malformed",
               {{"what", std::string("domain_record")},
                {"field", ErrorOf(decoded).field}});
      return std::nullopt;
    }
    return std::move(ValueOf(decoded));
  };
  codecs.crash_record.encode = EncodeCrashRecord;
  codecs.crash_record.decode =
      [](std::string_view text) -> std::optional<CrashRecord> {
    Decoded<CrashRecord> decoded = DecodeCrashRecord(text);
    if (!IsOk(decoded)) {
      LogEvent(LogSeverity::kError, "store_value_malformed",
               {{"what", std::string("crash_record")},
                {"field", ErrorOf(decoded).field}});
      return std::nullopt;
    }
    return std::move(ValueOf(decoded));
  };
  codecs.encode_node = EncodeNodeRecord;
  codecs.encode_overview = EncodeFleetOverview;
  return codecs;
}

}  // namespace

// Members are initialized in this order and destroyed in reverse order.
struct GatewayProcess::Parts {
  explicit Parts(GatewayProcessSettings initial_settings)
      : settings(std::move(initial_settings)),
        clock(SystemClock()),
        line_writer(STDOUT_FILENO, kMaxBufferedLogBytes),
        json_log({settings.core.self.id, "gcw-gateway", settings.log_severity,
                  [this](std::string_view line) { line_writer.Write(line); }}),
        log_limiter(settings.log_rate_limiter,
                    LogTimelineEvent,
                    LogDroppedLines),
        log(EventLog::Builder()
                .SetNode(settings.core.self.id)
                .SetIncarnation(Incarnation(clock().millis()))
                .SetClock(clock)
                .SetCapacity(static_cast<std::size_t>(settings.events_kept))
                .SetObserver([this](const TimelineEvent& event) {
                  metrics.CountEvent(event);
                  log_limiter.Write(event);
                })
                .Build()),
        core(settings.core,
             MakeCodecs(),
             SeededRandom(std::random_device()()),
             log.Sink()),
        runtime(settings.runtime,
                {&context, &core, MakePlatformDialect(), &metrics, log.Sink(),
                 clock}),
        signals(context, SIGTERM, SIGINT, SIGHUP) {}

  void WaitForSignal(const std::string& settings_path);
  // Reads the settings file again and logs its errors. Returns an absent value
  // if there are any.
  std::optional<GatewayProcessSettings> ReadAgain(
      const std::string& settings_path) const;

  GatewayProcessSettings settings;
  Clock clock;
  LineWriter line_writer;
  JsonLog json_log;
  GatewayMetrics metrics;
  LogRateLimiter log_limiter;
  EventLog log;
  boost::asio::io_context context{kThreads};
  GatewayCore core;
  GatewayRuntime runtime;
  boost::asio::signal_set signals;
};

void GatewayProcess::Parts::WaitForSignal(const std::string& settings_path) {
  signals.async_wait([this, settings_path](
                         const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    const auto changed = ReadAgain(settings_path);
    if (signal != SIGHUP) {
      runtime.BeginStop(changed ? std::optional(changed->core.stop_grace_period)
                                : std::nullopt);
    }
    WaitForSignal(settings_path);
  });
}

// Settings do not change while a node runs: everything that may change comes
// from the key-value service. A reload only checks the file, so that errors in
// it are known before the next start. The exception is the grace period, which
// the platform applies as it is when the node is told to stop.
std::optional<GatewayProcessSettings> GatewayProcess::Parts::ReadAgain(
    const std::string& settings_path) const {
  auto read = ReadGatewaySettings(settings_path);
  const auto* errors = std::get_if<1>(&read);
  if (errors != nullptr) {
    for (const SettingError& error : *errors) {
      std::ostringstream text;
      text << error;
      LogEvent(LogSeverity::kError, "setting_invalid",
               {{"key", error.key}, {"error", text.str()}});
    }
  }
  LogEvent(errors != nullptr ? LogSeverity::kError : LogSeverity::kInfo,
           "settings_reloaded",
           {{"errors", static_cast<std::int64_t>(
                           errors != nullptr ? errors->size() : 0)}});
  if (errors != nullptr) {
    return std::nullopt;
  }
  return std::get<0>(std::move(read));
}

std::variant<std::unique_ptr<GatewayProcess>, GatewayListenError>
GatewayProcess::Start(GatewayProcessSettings settings) {
  SetPlatformKeys(settings.core.mirror);
  auto parts = std::make_unique<Parts>(std::move(settings));
  if (const auto error = parts->runtime.Listen()) {
    return *error;
  }
  const GatewayRuntime& runtime = parts->runtime;
  LogEvent(
      LogSeverity::kInfo, "node_started",
      {{"callers", runtime.ListenerAddress(GatewayListener::kCallers).value()},
       {"entries", runtime.ListenerAddress(GatewayListener::kEntries).value()},
       {"peers", runtime.ListenerAddress(GatewayListener::kPeers).value()},
       {"readiness",
        runtime.ListenerAddress(GatewayListener::kReadiness).value()},
       {"metrics", runtime.ListenerAddress(GatewayListener::kMetrics).value()},
       {"store", parts->settings.runtime.store.value()}});
  parts->runtime.Start();
  return std::unique_ptr<GatewayProcess>(new GatewayProcess(std::move(parts)));
}

GatewayProcess::GatewayProcess(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts)) {}

GatewayProcess::~GatewayProcess() = default;

void GatewayProcess::Run(const std::string& settings_path) {
  parts_->WaitForSignal(settings_path);
  parts_->context.run();
}

}  // namespace gcw
