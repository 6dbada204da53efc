#ifndef TRANSPORT_OPERATOR_PAGES_H_
#define TRANSPORT_OPERATOR_PAGES_H_

#include <boost/json/object.hpp>

#include "coordination/coordination.h"

namespace gcw {

// What operators see of a node's core, as JSON; see docs/API.md for the fields.
// All run on the control thread.

boost::json::object StatusPage(const NodeCore& core, Time now);
boost::json::object NodesPage(const NodeCore& core);
boost::json::object GroupsPage(const NodeCore& core, Time now);
boost::json::object LimitsPage(const NodeCore& core, Time now);
// All entries below a prefix of the configuration; `name` of the list.
boost::json::object ConfigPage(const NodeCore& core,
                               std::string_view prefix,
                               std::string_view name);
// `{"key","revision","change","value"}`; value null where withdrawn.
boost::json::object ConfigEntryPage(const ConfigEntry& entry);
boost::json::object ConfirmationPage(const ConfigConfirmation& confirmation);

}  // namespace gcw

#endif  // TRANSPORT_OPERATOR_PAGES_H_
