#ifndef PROGRAMS_GCW_STANDIN_PLATFORM_DOCUMENTS_H_
#define PROGRAMS_GCW_STANDIN_PLATFORM_DOCUMENTS_H_

#include <optional>
#include <string>

#include "platform/platform.h"

namespace gcw {

// What the stand-in of the platform writes and reads: the inverse of the codecs
// in platform/.

// The engines of its one model service.
EngineProfile StandinEngineProfile();
// The operators' document: models `large` (6 VMs) and `small` (3) under
// `/large/` and `/small/`, a plain service under `/safe/` and `/once/`, all of
// the host `models.example`; the key `standin-key` of customer `paid`.
std::string EncodeStandinConfiguration();
std::string EncodeRegistrationEntry(const VmRegistration& registration);

// Absent where the request is no call to the store.
std::optional<StoreCall> DecodePlatformStoreCall(const HttpRequest& request);
HttpResponse EncodePlatformStoreReply(const StoreCall& call,
                                      const StoreReply& reply);

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_PLATFORM_DOCUMENTS_H_
