#ifndef PROTOCOL_URGENCY_NAMES_H_
#define PROTOCOL_URGENCY_NAMES_H_

#include "coordination/coordination.h"
#include "protocol/json_reader.h"

namespace gcw {

inline constexpr ChoiceNames<Urgency, 3> kUrgencyNames{{
    {Urgency::kResumed, "resumed"},
    {Urgency::kOnTime, "on_time"},
    {Urgency::kDeferred, "deferred"},
}};

}  // namespace gcw

#endif  // PROTOCOL_URGENCY_NAMES_H_
