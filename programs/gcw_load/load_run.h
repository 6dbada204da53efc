#ifndef PROGRAMS_GCW_LOAD_LOAD_RUN_H_
#define PROGRAMS_GCW_LOAD_LOAD_RUN_H_

#include <atomic>
#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "programs/gcw_load/load_command_line.h"
#include "programs/gcw_load/load_context.h"

namespace gcw {

// One run: asks for addresses, sends the planned requests at their times, and
// waits for the requests in flight, each of which has a timeout.
class LoadRun {
 public:
  explicit LoadRun(LoadSettings settings);

  // Returns when every request has its outcome. Must be called only once.
  LoadExitCode Run();

  const LoadTally& tally() const { return recorder_.tally(); }
  const KeyLedger& keys() const { return recorder_.keys(); }

 private:
  void OnFirstEntries(bool found);
  // Schedules the next arrival of the plan.
  void ScheduleNext();
  void OnArrival();
  void Send(const Arrival& arrival);
  void StartExchange(PlannedRequest planned, std::int64_t number);
  void StopArrivals();
  void DecrementInFlight();
  void Finish();

  const LoadSettings settings_;
  boost::asio::io_context io_;
  // Serializes arrivals and signals.
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  HttpClient client_;
  LoadRecorder recorder_;
  EntrySource entries_;
  LoadContext context_;
  ArrivalPlan plan_;
  std::optional<Arrival> next_arrival_;
  // Random, so that request names differ between runs with the same seed.
  const std::string run_name_;
  PromptMaker prompts_;
  std::int64_t last_number_ = 0;
  LoadClock::time_point start_;
  bool arrivals_stopped_ = false;
  bool no_entry_ = false;
  // Requests in flight, plus 1 until the arrivals end.
  std::atomic<std::int64_t> in_flight_ = 1;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_RUN_H_
