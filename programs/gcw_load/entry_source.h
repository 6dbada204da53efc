#ifndef PROGRAMS_GCW_LOAD_ENTRY_SOURCE_H_
#define PROGRAMS_GCW_LOAD_ENTRY_SOURCE_H_

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "programs/gcw_load/entry_selector.h"
#include "programs/gcw_load/load_recorder.h"
#include "transport/transport.h"

namespace gcw {

// Keeps the entry list current: asks one address after the other until one
// answers, and again whenever the list expires. With a direct address nothing
// is asked. Must outlive the run of `context`.
class EntrySource {
 public:
  EntrySource(boost::asio::io_context& context,
              HttpClient& client,
              LoadRecorder& recorder,
              std::vector<Address> addresses,
              std::optional<Address> direct,
              Random random);

  // Calls `on_first_result` once, with true if there are addresses to use and
  // false if the first round failed.
  void Start(std::function<void(bool)> on_first_result);

  // Chooses an address that is not in `tried`, absent if there is none.
  // Thread-safe.
  std::optional<Address> Choose(const std::vector<Address>& tried);

 private:
  // Asks the address at `next_address_`, which is number `failed` + 1 of this
  // round.
  void RequestEntries(std::size_t failed);
  void OnAnswer(std::size_t failed,
                const Result<HttpResponse, HttpFailure>& result);
  // Stores the list and returns the time until its renewal.
  Duration StoreEntries(EntryList list);
  void OnRoundFailed();
  void ScheduleRequest(Duration wait);
  void NotifyFirst(bool found);

  HttpClient& client_;
  LoadRecorder& recorder_;
  const std::vector<Address> addresses_;
  const std::optional<Address> direct_;
  const Clock clock_ = SystemClock();
  std::mutex mutex_;
  // Guarded by `mutex_`.
  EntrySelector selector_;
  // The members below are used only by the single request that is in flight or
  // scheduled.
  boost::asio::steady_timer timer_;
  std::size_t next_address_ = 0;
  std::function<void(bool)> on_first_result_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ENTRY_SOURCE_H_
