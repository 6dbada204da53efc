#include "programs/gcw_load/entry_source.h"

#include <chrono>
#include <utility>

namespace gcw {
namespace {

constexpr int kStatusOk = 200;
constexpr Duration kPauseAfterFailure = Duration::Millis(500);

HttpCallOptions AskOptions() {
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
      book_(std::move(random)),
      timer_(context) {}

void EntrySource::Start(std::function<void(bool)> first) {
  first_ = std::move(first);
  if (direct_) {
    TellFirst(true);
    return;
  }
  Ask(0);
}

std::optional<Address> EntrySource::Choose(const std::vector<Address>& tried) {
  if (direct_) {
    return tried.empty() ? direct_ : std::nullopt;
  }
  const std::lock_guard lock(mutex_);
  return book_.Choose(tried);
}

void EntrySource::Ask(std::size_t failed) {
  recorder_.Record([](LoadTally& tally, KeyLedger&) { ++tally.entries_asked; });
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/entries";
  client_.Fetch(
      addresses_[next_], std::move(request), AskOptions(),
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
    AskAfter(Keep(*std::move(list)));
    TellFirst(true);
    return;
  }
  recorder_.Record(
      [](LoadTally& tally, KeyLedger&) { ++tally.entries_failed; });
  next_ = (next_ + 1) % addresses_.size();
  if (failed + 1 < addresses_.size()) {
    Ask(failed + 1);
    return;
  }
  OnRoundFailed();
}

Duration EntrySource::Keep(EntryList list) {
  const std::lock_guard lock(mutex_);
  const Time now = clock_();
  book_.Replace(now, std::move(list));
  return book_.renew_at() - now;
}

void EntrySource::OnRoundFailed() {
  if (first_) {
    TellFirst(false);
    return;
  }
  AskAfter(kPauseAfterFailure);
}

void EntrySource::AskAfter(Duration wait) {
  timer_.expires_after(std::chrono::milliseconds(wait.millis()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Ask(0);
    }
  });
}

void EntrySource::TellFirst(bool found) {
  if (const auto first = std::exchange(first_, nullptr)) {
    first(found);
  }
}

}  // namespace gcw
