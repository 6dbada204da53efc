#include "transport/vm_list_client.h"

#include <utility>

namespace gcw {

VmListClient::VmListClient(boost::asio::io_context& context,
                           Address address,
                           Duration timeout)
    : address_(std::move(address)), timeout_(timeout), client_(context) {}

void VmListClient::Read(CallDone<VmListSnapshot> done) {
  FetchDecoded<VmListSnapshot>(client_, address_, {"GET", "/vms", {}, {}},
                               OptionsWithTimeout(timeout_), DecodeVmList,
                               std::move(done));
}

}  // namespace gcw
