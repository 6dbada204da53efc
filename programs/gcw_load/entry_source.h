#ifndef PROGRAMS_GCW_LOAD_ENTRY_SOURCE_H_
#define PROGRAMS_GCW_LOAD_ENTRY_SOURCE_H_

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "programs/gcw_load/entry_book.h"
#include "programs/gcw_load/load_recorder.h"
#include "transport/transport.h"

namespace gcw {

// Keeps the entry book filled: asks one address after the other until one
// answers, and again each time the answer's time is over. With a direct address
// there is nothing to ask. It must outlive the context's run.
class EntrySource {
 public:
  EntrySource(boost::asio::io_context& context,
              HttpClient& client,
              LoadRecorder& recorder,
              std::vector<Address> addresses,
              std::optional<Address> direct,
              Random random);

  // `first` is told once whether there are addresses to use.
  void Start(std::function<void(bool)> first);

  // An address that is not among those tried. From any thread.
  std::optional<Address> Choose(const std::vector<Address>& tried);

 private:
  // Asks the address at `next_`, the `failed`+1st one of this round.
  void Ask(std::size_t failed);
  void OnAnswer(std::size_t failed,
                const Result<HttpResponse, HttpFailure>& result);
  // Returns for how long.
  Duration Keep(EntryList list);
  void OnRoundFailed();
  void AskAfter(Duration wait);
  void TellFirst(bool found);

  HttpClient& client_;
  LoadRecorder& recorder_;
  const std::vector<Address> addresses_;
  const std::optional<Address> direct_;
  const Clock clock_ = SystemClock();
  std::mutex mutex_;
  // Guarded by the mutex.
  EntryBook book_;
  // The members below belong to the one question that is open or waits.
  boost::asio::steady_timer timer_;
  std::size_t next_ = 0;
  std::function<void(bool)> first_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ENTRY_SOURCE_H_
