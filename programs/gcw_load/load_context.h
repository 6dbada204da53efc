#ifndef PROGRAMS_GCW_LOAD_LOAD_CONTEXT_H_
#define PROGRAMS_GCW_LOAD_LOAD_CONTEXT_H_

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

#include "programs/gcw_load/entry_source.h"
#include "programs/gcw_load/load_recorder.h"
#include "programs/gcw_load/load_settings.h"

namespace gcw {

using LoadClock = std::chrono::steady_clock;

// Objects that the exchanges of a run share. Outlives the exchanges.
struct LoadContext {
  boost::asio::io_context& io;
  HttpClient& client;
  EntrySource& entries;
  LoadRecorder& recorder;
  const LoadSettings& settings;
};

// A request of the arrival plan.
struct PlannedRequest {
  RequestKind kind = RequestKind::kPaidStream;
  LoadClock::time_point planned_at;
  // Unique over all requests of all runs.
  std::string name;
  // Called once, after the outcome is recorded.
  std::function<void()> on_done;
};

inline std::chrono::microseconds ElapsedSince(LoadClock::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      LoadClock::now() - start);
}

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_CONTEXT_H_
