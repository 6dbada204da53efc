#include "programs/gcw_load/entry_source.h"

#include <chrono>
#include <utility>

namespace gcw {
namespace {

constexpr int kStatusOk = 200;
constexpr Duration kRetryDelay = Duration::Millis(500);

HttpCallOptions EntryCallOptions() {
  return {.progress_timeout = Duration::Seconds(2),
          .deadline = Duration::Seconds(2)};
}

}  // namespace

EntrySource::EntrySource(boost::asio::io_context& context,
                         HttpClient& client,
                         LoadRecorder& recorder,
                         std::vector<Address> addresses,
                         std::optional<Address> direct,
                         Random random)
    : client_(client),
      recorder_(recorder),
      addresses_(std::move(addresses)),
      direct_(std::move(direct)),
      selector_(std::move(random)),
      timer_(context) {}

void EntrySource::Start(std::function<void(bool)> on_first_result) {
  on_first_result_ = std::move(on_first_result);
  if (direct_) {
    NotifyFirst(true);
    return;
  }
  RequestEntries(0);
}

std::optional<Address> EntrySource::Choose(const std::vector<Address>& tried) {
  if (direct_) {
    return tried.empty() ? direct_ : std::nullopt;
  }
  const std::lock_guard lock(mutex_);
  return selector_.Choose(tried);
}

void EntrySource::RequestEntries(std::size_t failed) {
  recorder_.Record([](LoadTally& tally, KeyLedger&) { ++tally.entries_asked; });
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/entries";
  client_.Fetch(
      addresses_[next_address_], std::move(request), EntryCallOptions(),
      [this, failed](const Result<HttpResponse, HttpFailure>& result) {
        OnAnswer(failed, result);
      });
}

void EntrySource::OnAnswer(std::size_t failed,
                           const Result<HttpResponse, HttpFailure>& result) {
  std::optional<EntryList> list;
  if (IsOk(result) && ValueOf(result).status == kStatusOk) {
    auto decoded = DecodeEntryList(ValueOf(result).body);
    if (IsOk(decoded) && !ValueOf(decoded).entries.empty()) {
      list = std::move(ValueOf(decoded));
    }
  }
  if (list) {
    ScheduleRequest(StoreEntries(*std::move(list)));
    NotifyFirst(true);
    return;
  }
  recorder_.Record(
      [](LoadTally& tally, KeyLedger&) { ++tally.entries_failed; });
  next_address_ = (next_address_ + 1) % addresses_.size();
  if (failed + 1 < addresses_.size()) {
    RequestEntries(failed + 1);
    return;
  }
  OnRoundFailed();
}

Duration EntrySource::StoreEntries(EntryList list) {
  const std::lock_guard lock(mutex_);
  const Time now = clock_();
  selector_.Replace(now, std::move(list));
  return selector_.renew_at() - now;
}

void EntrySource::OnRoundFailed() {
  if (on_first_result_) {
    NotifyFirst(false);
    return;
  }
  ScheduleRequest(kRetryDelay);
}

void EntrySource::ScheduleRequest(Duration wait) {
  timer_.expires_after(std::chrono::milliseconds(wait.millis()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      RequestEntries(0);
    }
  });
}

void EntrySource::NotifyFirst(bool found) {
  if (const auto on_first_result = std::exchange(on_first_result_, nullptr)) {
    on_first_result(found);
  }
}

}  // namespace gcw
