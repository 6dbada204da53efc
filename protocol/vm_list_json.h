#ifndef PROTOCOL_VM_LIST_JSON_H_
#define PROTOCOL_VM_LIST_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The response body of `GET /vms`.
std::string EncodeVmList(const VmListSnapshot& snapshot);
Decoded<VmListSnapshot> DecodeVmList(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_VM_LIST_JSON_H_
