#include "programs/gcw_load/load_run.h"

#include <csignal>
#include <memory>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include "programs/gcw_load/chat_exchange.h"
#include "programs/gcw_load/reservation_exchange.h"

namespace gcw {
namespace {

// Offset of the seed for choosing addresses, so that it does not reuse the
// random numbers of the arrivals.
constexpr std::uint64_t kChoiceSeedOffset = 0x9e3779b97f4a7c15;

std::string MakeRunName() {
  std::random_device device;
  const std::uint64_t high = device();
  return ToHex(high << 32 | device());
}

PromptMaker::Settings WithRunName(PromptMaker::Settings settings,
                                  const std::string& run) {
  settings.run = run;
  return settings;
}

}  // namespace

LoadRun::LoadRun(LoadSettings settings)
    : settings_(std::move(settings)),
      io_(settings_.threads),
      strand_(boost::asio::make_strand(io_)),
      timer_(strand_),
      signals_(strand_, SIGINT, SIGTERM),
      client_(io_),
      entries_(io_,
               client_,
               recorder_,
               settings_.entries,
               settings_.direct,
               SeededRandom(settings_.seed + kChoiceSeedOffset)),
      context_{io_, client_, entries_, recorder_, settings_},
      plan_(settings_.arrivals, SeededRandom(settings_.seed)),
      run_name_(MakeRunName()),
      prompts_(WithRunName(settings_.prompts, run_name_)) {}

LoadExitCode LoadRun::Run() {
  signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) {
      StopArrivals();
    }
  });
  entries_.Start([this](bool found) {
    boost::asio::post(strand_, [this, found] { OnFirstEntries(found); });
  });
  std::vector<std::jthread> workers;
  for (int i = 1; i < settings_.threads; ++i) {
    workers.emplace_back([this] { io_.run(); });
  }
  io_.run();
  workers.clear();
  if (no_entry_) {
    return LoadExitCode::kNoEntry;
  }
  return tally().violations() > 0 ? LoadExitCode::kViolation
                                  : LoadExitCode::kDone;
}

void LoadRun::OnFirstEntries(bool found) {
  start_ = LoadClock::now();
  no_entry_ = !found;
  if (!found) {
    StopArrivals();
    return;
  }
  ScheduleNext();
}

void LoadRun::ScheduleNext() {
  if (arrivals_stopped_) {
    return;
  }
  next_arrival_ = plan_.Next();
  if (!next_arrival_) {
    StopArrivals();
    return;
  }
  timer_.expires_at(start_ + next_arrival_->at);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      OnArrival();
    }
  });
}

void LoadRun::OnArrival() {
  if (arrivals_stopped_) {
    return;
  }
  Send(*next_arrival_);
  ScheduleNext();
}

void LoadRun::Send(const Arrival& arrival) {
  if (in_flight_ > settings_.max_in_flight) {
    recorder_.Record([&](LoadTally& tally, KeyLedger&) {
      ++tally.of(arrival.kind).skipped;
    });
    return;
  }
  ++in_flight_;
  const std::int64_t number = ++last_number_;
  PlannedRequest planned;
  planned.kind = arrival.kind;
  planned.planned_at = start_ + arrival.at;
  planned.name = run_name_ + '-' + std::to_string(number);
  planned.on_done = [this] { DecrementInFlight(); };
  recorder_.Record([&](LoadTally& tally, KeyLedger&) {
    ++tally.of(arrival.kind).sent;
    tally.lateness.Add(ElapsedSince(planned.planned_at));
  });
  StartExchange(std::move(planned), number);
}

void LoadRun::StartExchange(PlannedRequest planned, std::int64_t number) {
  if (planned.kind == RequestKind::kReservation) {
    std::make_shared<ReservationExchange>(context_, std::move(planned))
        ->Start();
    return;
  }
  std::make_shared<ChatExchange>(context_, std::move(planned))
      ->Start(prompts_.Make(number));
}

void LoadRun::StopArrivals() {
  if (std::exchange(arrivals_stopped_, true)) {
    return;
  }
  timer_.cancel();
  DecrementInFlight();
}

void LoadRun::DecrementInFlight() {
  if (--in_flight_ == 0) {
    boost::asio::post(strand_, [this] { Finish(); });
  }
}

void LoadRun::Finish() {
  recorder_.Record([this](LoadTally& tally, KeyLedger&) {
    tally.ran_for = ElapsedSince(start_);
  });
  // Every request has its outcome. Without the stop, run() would return only
  // after the last pooled connection has expired.
  io_.stop();
}

}  // namespace gcw
