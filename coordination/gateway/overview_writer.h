#ifndef COORDINATION_GATEWAY_OVERVIEW_WRITER_H_
#define COORDINATION_GATEWAY_OVERVIEW_WRITER_H_

#include <functional>
#include <optional>
#include <string>

#include "coordination/actions.h"
#include "state/state.h"

namespace gcw {

struct OverviewWriterSettings {
  // Between two writes at least. After a loss of all nodes, what opened or
  // ended within this time shows by itself or a little later.
  Duration interval = Duration::Seconds(2);
};

// Writes the overview of the fleet to the key-value service whenever it has
// changed, for nodes that start. Only the keeper of groups does; should there
// be two for a moment, the later write counts.
class OverviewWriter {
 public:
  using Encode = std::function<std::string(const FleetOverview&)>;
  using Describe = std::function<FleetOverview()>;

  OverviewWriter(OverviewWriterSettings settings,
                 std::string key,
                 Encode encode);

  // The write that is due, if one is. `describe` is called where it may be.
  std::optional<StoreRequest> Tick(Time now, const Describe& describe);
  void OnStoreReply(StoreCallId id, const StoreReply& reply);

 private:
  OverviewWriterSettings settings_;
  std::string key_;
  Encode encode_;
  Time next_write_;
  // Of the key, as far as it is known; zero where it is absent.
  Revision revision_;
  std::string written_;
  std::string proposed_;
  StoreCallId last_call_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_OVERVIEW_WRITER_H_
