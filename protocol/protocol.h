#ifndef PROTOCOL_PROTOCOL_H_
#define PROTOCOL_PROTOCOL_H_

// Public header of the protocol library: messages and their codecs. No codec
// throws; text in other encodings than UTF-8 is refused on reading.

#include "protocol/event_field_json.h"
#include "protocol/timeline_json.h"
#include "protocol/timeline_merge.h"
#include "protocol/trace_file.h"
#include "protocol/utf8.h"

#endif  // PROTOCOL_PROTOCOL_H_
