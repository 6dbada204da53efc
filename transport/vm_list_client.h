#ifndef TRANSPORT_VM_LIST_CLIENT_H_
#define TRANSPORT_VM_LIST_CLIENT_H_

#include <boost/asio/io_context.hpp>

#include "state/state.h"
#include "transport/call_error.h"
#include "transport/http_client.h"

namespace gcw {

// Reads the platform's VM list.
class VmListClient {
 public:
  VmListClient(boost::asio::io_context& context,
               Address address,
               Duration timeout);

  void Read(CallDone<VmListSnapshot> done);

 private:
  const Address address_;
  const Duration timeout_;
  HttpClient client_;
};

}  // namespace gcw

#endif  // TRANSPORT_VM_LIST_CLIENT_H_
