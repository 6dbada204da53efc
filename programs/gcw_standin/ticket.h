#ifndef PROGRAMS_GCW_STANDIN_TICKET_H_
#define PROGRAMS_GCW_STANDIN_TICKET_H_

#include "core/core.h"

namespace gcw {

// Identifies a request that a stand-in has not answered yet.
using Ticket = StrongNumber<struct TicketTag>;

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_TICKET_H_
