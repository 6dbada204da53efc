#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

// Public header of the transport library, which contains the code that uses the
// network, files and system clocks.

#include "transport/action_executor.h"
#include "transport/address.h"
#include "transport/call_error.h"
#include "transport/caller_service.h"
#include "transport/engine_client.h"
#include "transport/gateway/answer_framing.h"
#include "transport/gateway/forward_exchange.h"
#include "transport/gateway/gateway_dialect.h"
#include "transport/gateway/gateway_metrics.h"
#include "transport/gateway/gateway_runtime.h"
#include "transport/gateway/relay_headers.h"
#include "transport/http_client.h"
#include "transport/http_error.h"
#include "transport/http_server.h"
#include "transport/http_types.h"
#include "transport/json_log.h"
#include "transport/key_digest.h"
#include "transport/line_writer.h"
#include "transport/log_rate_limiter.h"
#include "transport/metrics.h"
#include "transport/node_metrics.h"
#include "transport/node_runtime.h"
#include "transport/operator_service.h"
#include "transport/peer_client.h"
#include "transport/peer_server.h"
#include "transport/query_string.h"
#include "transport/refusal_http.h"
#include "transport/secret.h"
#include "transport/setting_error.h"
#include "transport/settings_reader.h"
#include "transport/store_client.h"
#include "transport/vm_list_client.h"

#endif  // TRANSPORT_TRANSPORT_H_
