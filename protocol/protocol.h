#ifndef PROTOCOL_PROTOCOL_H_
#define PROTOCOL_PROTOCOL_H_

// Public header of the protocol library: messages and their codecs. Codecs do
// not throw. Decoders reject text that is not UTF-8, except in copies of store
// entries (mirror_json.h).

#include "protocol/cache_event_json.h"
#include "protocol/cancel_json.h"
#include "protocol/chat_answer.h"
#include "protocol/chat_event.h"
#include "protocol/chat_request.h"
#include "protocol/codec_error.h"
#include "protocol/config_record_json.h"
#include "protocol/contract_json.h"
#include "protocol/crash_json.h"
#include "protocol/desired_model_json.h"
#include "protocol/domain_record_json.h"
#include "protocol/engine_headers.h"
#include "protocol/engine_order_json.h"
#include "protocol/engine_status_json.h"
#include "protocol/error_json.h"
#include "protocol/evacuation_json.h"
#include "protocol/event_field_json.h"
#include "protocol/fleet_overview_json.h"
#include "protocol/hex.h"
#include "protocol/json_reader.h"
#include "protocol/json_writer.h"
#include "protocol/load_report_json.h"
#include "protocol/mirror_json.h"
#include "protocol/node_record_json.h"
#include "protocol/peer_codec.h"
#include "protocol/peer_message.h"
#include "protocol/prefix_blocks.h"
#include "protocol/reference_answer.h"
#include "protocol/relay_json.h"
#include "protocol/request_fingerprint.h"
#include "protocol/route_explanation_json.h"
#include "protocol/sse_event_splitter.h"
#include "protocol/sse_parser.h"
#include "protocol/store_json.h"
#include "protocol/timeline_json.h"
#include "protocol/timeline_merge.h"
#include "protocol/trace_file.h"
#include "protocol/utf8.h"
#include "protocol/vm_list_json.h"
#include "protocol/weight_store_json.h"

#endif  // PROTOCOL_PROTOCOL_H_
