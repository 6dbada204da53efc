#include "coordination/routing/endpoint_load.h"

#include <algorithm>

namespace gcw {

bool EndpointLoad::OnReport(const LoadReport& report) {
  if (has_report_ && report.taken_at <= taken_at_) {
    return false;
  }
  has_report_ = true;
  taken_at_ = report.taken_at;
  reported_requests_ =
      static_cast<double>(report.queued_requests + report.running_requests);
  reported_tokens_ = static_cast<double>(report.queued_prompt_tokens.value());
  batch_limit_ = static_cast<double>(report.batch_limit);
  RecountAfterReport();
  return true;
}

void EndpointLoad::RecountAfterReport() {
  sent_requests_ = 0;
  sent_tokens_ = 0;
  ended_requests_ = 0;
  for (const OwnAttempt& attempt : own_attempts_) {
    if (!IsAfterReport(attempt)) {
      continue;
    }
    sent_requests_ += 1;
    if (!attempt.has_first_byte) {
      sent_tokens_ += static_cast<double>(attempt.tokens);
    }
  }
}

bool EndpointLoad::IsAfterReport(const OwnAttempt& attempt) const {
  return !has_report_ || attempt.sent >= taken_at_;
}

void EndpointLoad::OnSent(Time now,
                          DispatchTicket ticket,
                          std::int64_t tokens,
                          Duration expected_first_byte) {
  own_attempts_.push_back({.ticket = ticket,
                           .sent = now,
                           .tokens = tokens,
                           .expected_first_byte = expected_first_byte});
  sent_requests_ += 1;
  sent_tokens_ += static_cast<double>(tokens);
}

EndpointLoad::OwnAttempt* EndpointLoad::FindAttempt(DispatchTicket ticket) {
  const auto found =
      std::ranges::find(own_attempts_, ticket, &OwnAttempt::ticket);
  return found == own_attempts_.end() ? nullptr : &*found;
}

void EndpointLoad::OnFirstByte(DispatchTicket ticket) {
  OwnAttempt* attempt = FindAttempt(ticket);
  if (attempt == nullptr || attempt->has_first_byte) {
    return;
  }
  attempt->has_first_byte = true;
  if (IsAfterReport(*attempt)) {
    sent_tokens_ -= static_cast<double>(attempt->tokens);
  }
}

void EndpointLoad::OnEnded(DispatchTicket ticket) {
  OnFirstByte(ticket);
  OwnAttempt* attempt = FindAttempt(ticket);
  if (attempt == nullptr) {
    return;
  }
  if (IsAfterReport(*attempt)) {
    sent_requests_ -= 1;
  } else {
    ended_requests_ += 1;
  }
  *attempt = own_attempts_.back();
  own_attempts_.pop_back();
}

LoadEstimate EndpointLoad::Estimate(Time now,
                                    const PeerLoadModel& peers) const {
  if (!has_report_ || now - taken_at_ > peers.report_timeout) {
    return {.requests = static_cast<double>(own_attempts_.size()) *
                        (peers.other_nodes + 1),
            .tokens = sent_tokens_ * (peers.other_nodes + 1),
            .batch_limit = batch_limit_};
  }
  const auto age = static_cast<double>((now - taken_at_).millis());
  const double even_share = 1 - peers.similarity;
  const double other_requests =
      peers.other_nodes * (peers.similarity * sent_requests_ +
                           even_share * peers.mean_requests_per_milli * age);
  const double other_tokens =
      peers.other_nodes * (peers.similarity * sent_tokens_ +
                           even_share * peers.mean_tokens_per_milli * age);
  // This node's own requests are subtracted when they end. Those of other nodes
  // are assumed to end at the mean rate.
  const double other_nodes_share = peers.other_nodes / (peers.other_nodes + 1);
  const double ended =
      std::min(1.0, other_nodes_share * age / peers.service_millis) *
      reported_requests_;
  const double tokens = reported_tokens_ + sent_tokens_ + other_tokens -
                        age * peers.tokens_per_milli;
  return {
      .requests = std::max(0.0, reported_requests_ - ended - ended_requests_ +
                                    sent_requests_ + other_requests),
      .tokens = std::max(0.0, tokens),
      .batch_limit = batch_limit_};
}

Duration EndpointLoad::Overdue(Time now) const {
  Duration overdue;
  for (const OwnAttempt& attempt : own_attempts_) {
    if (!attempt.has_first_byte) {
      overdue =
          std::max(overdue, now - attempt.sent - attempt.expected_first_byte);
    }
  }
  return overdue;
}

}  // namespace gcw
