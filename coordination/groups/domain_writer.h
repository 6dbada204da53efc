#ifndef COORDINATION_GROUPS_DOMAIN_WRITER_H_
#define COORDINATION_GROUPS_DOMAIN_WRITER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/actions.h"
#include "state/state.h"

namespace gcw {

// Encodes and decodes domain records for the key-value service. A higher layer
// supplies the hooks.
struct DomainRecordCodec {
  std::function<std::string(const DomainRecord&)> encode;
  // Returns nullopt if the text is not a record.
  std::function<std::optional<DomainRecord>(std::string_view)> decode;
};

// Settings of `DomainWriter`.
struct WriterSettings {
  // A call without a reply after this time is given up, and the record is read
  // again.
  Duration call_timeout = Duration::Seconds(2);
  // Delay before the next read if the service did not answer or is behind a
  // revision already seen.
  Duration retry_interval = Duration::Seconds(2);
};

// Whether the record is known and may be written.
enum class WriterState {
  // The record has not been read yet, or the outcome of a write is unknown.
  kReading,
  // The record is known as of `revision` and may be written.
  kReady,
  // A compare-and-swap is in progress.
  kWriting,
  // A controller with a higher fencing token wrote the record.
  kSuperseded,
};

// Reads and writes the record of one domain by compare-and-swap. A write whose
// reply is lost does not count as failed: the record is read back. If the read
// does not show the write, it may be stale, or the write may still arrive, so
// the record counts as unclaimed until another write settles it.
class DomainWriter {
 public:
  DomainWriter(FabricDomainId domain,
               WriterSettings settings,
               DomainRecordCodec codec,
               EventSink events);

  // Reads the record again as the holder of this fencing token.
  void Start(Time now, FencingToken fence);

  // Schedules the write of a record, stamped with the fencing token and
  // `change`. Returns false, and writes nothing, if the state is not `kReady`
  // or the record has a fault.
  bool Propose(Time now, DomainRecord record, ChangeId change);

  // Returns the call that is due, if any. The caller assigns its id and passes
  // it to `OnCallSent`.
  std::optional<StoreCall> Tick(Time now);
  void OnCallSent(Time now, StoreCallId id);
  // Ignores replies to calls that were given up.
  void OnReply(Time now, StoreCallId id, const StoreReply& reply);

  WriterState state() const { return state_; }
  // The newest record known to be committed. Valid only after a read.
  const DomainRecord& record() const { return record_; }
  Revision revision() const { return revision_; }
  // True if the committed record carries this controller's fencing token and no
  // earlier write, of this controller or another, can still change it.
  bool IsClaimed() const;
  std::string key() const;

 private:
  void OnRange(Time now, const StoreRangeReply& reply);
  void OnWritten(Time now, Revision revision);
  void Adopt(Time now, const std::optional<StoreEntry>& entry);
  void ScheduleRead(Time when);
  // The pending call gets no reply.
  void OnNoReply(Time read_at);
  bool IsBehind(const std::optional<StoreEntry>& entry) const;

  FabricDomainId domain_;
  WriterSettings settings_;
  DomainRecordCodec codec_;
  EventSink events_;
  FencingToken fence_;
  WriterState state_ = WriterState::kReading;
  DomainRecord record_;
  Revision revision_;
  // The highest store revision seen. A lower one in a reply means that the
  // service was restored to an earlier state or that the read is stale.
  Revision max_seen_revision_;
  DomainRecord proposed_;
  // The revision that a write without a reply expected. The write may have
  // taken effect, or may still do so, until a higher revision is known.
  std::optional<Revision> unsettled_;
  bool call_due_ = true;
  Time call_due_at_;
  std::optional<StoreCallId> pending_call_;
  Time call_sent_;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_DOMAIN_WRITER_H_
