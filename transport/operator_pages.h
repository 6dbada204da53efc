#ifndef TRANSPORT_OPERATOR_PAGES_H_
#define TRANSPORT_OPERATOR_PAGES_H_

#include <boost/json/object.hpp>

#include "coordination/coordination.h"

namespace gcw {

// JSON pages that show operators the state of a node's core; see docs/API.md
// for the fields. All functions are called on the control thread.

boost::json::object StatusPage(const NodeCore& core, Time now);
boost::json::object NodesPage(const NodeCore& core);
boost::json::object GroupsPage(const NodeCore& core, Time now);
boost::json::object LimitsPage(const NodeCore& core, Time now);
// Lists all entries of the configuration below `prefix`, as a list called
// `name`.
boost::json::object ConfigPage(const NodeCore& core,
                               std::string_view prefix,
                               std::string_view name);
// Returns `{"key","revision","change","value"}`; the value is null if the entry
// was withdrawn.
boost::json::object ConfigEntryPage(const ConfigEntry& entry);
boost::json::object ConfirmationPage(const ConfigConfirmation& confirmation);

}  // namespace gcw

#endif  // TRANSPORT_OPERATOR_PAGES_H_
