#ifndef COORDINATION_GATEWAY_OVERVIEW_WRITER_H_
#define COORDINATION_GATEWAY_OVERVIEW_WRITER_H_

#include <functional>
#include <optional>
#include <string>

#include "coordination/actions.h"
#include "state/state.h"

namespace gcw {

struct OverviewWriterSettings {
  // Minimum interval between two writes. After a loss of all nodes, a starting
  // node learns of endpoints that opened or ended within this time from their
  // registrations or a little later.
  Duration interval = Duration::Seconds(2);
};

// Writes the overview of the fleet to the key-value service whenever it has
// changed, for nodes that start. Only the controller of groups writes it; if
// there are two controllers for a moment, the later write wins.
class OverviewWriter {
 public:
  using Encode = std::function<std::string(const FleetOverview&)>;
  using Describe = std::function<FleetOverview()>;

  OverviewWriter(OverviewWriterSettings settings,
                 std::string key,
                 Encode encode);

  // Returns the write that is due, if any. Calls `describe` only if a write may
  // be due.
  std::optional<StoreRequest> Tick(Time now, const Describe& describe);
  void OnStoreReply(StoreCallId id, const StoreReply& reply);

 private:
  OverviewWriterSettings settings_;
  std::string key_;
  Encode encode_;
  Time next_write_;
  // The key's last known revision; zero if the key is absent.
  Revision revision_;
  std::string written_value_;
  std::string proposed_value_;
  StoreCallId last_call_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_OVERVIEW_WRITER_H_
