#ifndef COORDINATION_GROUPS_DOMAIN_WRITER_H_
#define COORDINATION_GROUPS_DOMAIN_WRITER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/actions.h"
#include "state/state.h"

namespace gcw {

// How domain records stand in the key-value service; the codecs live in a
// higher layer.
struct DomainRecordCodec {
  std::function<std::string(const DomainRecord&)> encode;
  // Absent where the text is no record.
  std::function<std::optional<DomainRecord>(std::string_view)> decode;
};

// Settings of a domain writer.
struct WriterSettings {
  // A call without a reply for this long counts as unanswered.
  Duration call_timeout = Duration::Seconds(2);
  // Between attempts while the service does not answer or is behind.
  Duration retry_interval = Duration::Seconds(2);
};

// Why a record may not be trusted or written.
enum class WriterState {
  // Nothing is known yet, or a lost answer is being settled.
  kReading,
  // The record is known as of `revision`.
  kReady,
  // A compare-and-swap is under way.
  kWriting,
  // A keeper with a higher fencing number wrote the record.
  kOvertaken,
};

// Reads and writes the record of one domain by compare-and-swap. It never takes
// a lost answer for a failure: it reads back and looks for its change id.
class DomainWriter {
 public:
  DomainWriter(FabricDomainId domain,
               WriterSettings settings,
               DomainRecordCodec codec,
               EventSink events);

  // Starts over as the holder of this fencing number.
  void Start(Time now, FencingToken fence);

  // Where state is `kReady`: proposes a record. Stamps it with the fencing
  // number and `change`. Refused, with no call made, where it has a fault.
  bool Propose(Time now, DomainRecord record, ChangeId change);

  // The call that is due, if one is. The caller gives it an id.
  std::optional<StoreCall> Tick(Time now);
  void OnCallSent(Time now, StoreCallId id);
  // Ignores replies to calls that were given up.
  void OnReply(Time now, StoreCallId id, const StoreReply& reply);

  WriterState state() const { return state_; }
  // The newest record known to be committed; only meaningful after a read.
  const DomainRecord& record() const { return record_; }
  Revision revision() const { return revision_; }
  // Whether the committed record carries this keeper's fencing number, so that
  // no earlier keeper can write it any more.
  bool IsClaimed() const;
  std::string key() const;

 private:
  void OnRange(Time now, const StoreRangeReply& reply);
  void OnWritten(Time now, Revision revision);
  void Adopt(Time now, const std::optional<StoreEntry>& entry);
  void ReadLater(Time when);
  bool IsBehind(const std::optional<StoreEntry>& entry) const;

  FabricDomainId domain_;
  WriterSettings settings_;
  DomainRecordCodec codec_;
  EventSink events_;
  FencingToken fence_;
  WriterState state_ = WriterState::kReading;
  DomainRecord record_;
  Revision revision_;
  // The highest revision that the service was seen at; a lower one means that
  // it was restored to the past or answered stale.
  Revision seen_;
  DomainRecord proposed_;
  bool call_due_ = true;
  Time due_;
  std::optional<StoreCallId> call_;
  Time call_sent_;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_DOMAIN_WRITER_H_
