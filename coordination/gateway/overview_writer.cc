#include "coordination/gateway/overview_writer.h"

#include <utility>

namespace gcw {

OverviewWriter::OverviewWriter(OverviewWriterSettings settings,
                               std::string key,
                               Encode encode)
    : settings_(settings), key_(std::move(key)), encode_(std::move(encode)) {}

std::optional<StoreRequest> OverviewWriter::Tick(Time now,
                                                 const Describe& describe) {
  if (key_.empty() || now < next_write_) {
    return std::nullopt;
  }
  next_write_ = now + settings_.interval;
  proposed_value_ = encode_(describe());
  if (proposed_value_ == written_value_) {
    return std::nullopt;
  }
  ++last_call_;
  return StoreRequest{last_call_,
                      StorePut{key_, proposed_value_, revision_, LeaseId()}};
}

// A write without an answer is resolved by the next one: its condition fails,
// and the conflict shows the key's current revision.
void OverviewWriter::OnStoreReply(StoreCallId id, const StoreReply& reply) {
  if (id != last_call_) {
    return;
  }
  if (const auto* written = std::get_if<StoreWritten>(&reply)) {
    revision_ = written->revision;
    written_value_ = proposed_value_;
  } else if (const auto* conflict = std::get_if<StoreConflict>(&reply)) {
    revision_ = conflict->current ? conflict->current->revision : Revision();
  }
}

}  // namespace gcw
