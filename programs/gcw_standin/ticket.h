#ifndef PROGRAMS_GCW_STANDIN_TICKET_H_
#define PROGRAMS_GCW_STANDIN_TICKET_H_

#include "core/core.h"

namespace gcw {

// Names a request that a stand-in holds until its answer.
using Ticket = StrongNumber<struct TicketTag>;

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_TICKET_H_
