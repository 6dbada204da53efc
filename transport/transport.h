#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

// Public header of the transport library: everything that meets the network,
// files and system clocks.

#include "transport/address.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/http_types.h"
#include "transport/json_log.h"
#include "transport/metrics.h"
#include "transport/secret.h"
#include "transport/setting_error.h"
#include "transport/settings_reader.h"

#endif  // TRANSPORT_TRANSPORT_H_
