#ifndef PROGRAMS_GCW_STANDIN_PLATFORM_DOCUMENTS_H_
#define PROGRAMS_GCW_STANDIN_PLATFORM_DOCUMENTS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "platform/platform.h"

namespace gcw {

// What the stand-in of the platform writes and reads: the inverse of the codecs
// in platform/.

// The engines of its one model service.
EngineProfile StandinEngineProfile();
// What the stand-in's operator changes while it runs.
struct StandinChoices {
  std::int64_t version = 1;
  std::int64_t max_body_bytes = 4194304;
  std::string key = "standin-key";
};
// The operators' document: models `large` (6 VMs) and `small` (3) under
// `/large/` and `/small/`, a plain service under `/safe/` and `/once/`, all of
// the host `models.example`; the one key is customer `paid`'s.
std::string EncodeStandinConfiguration(const StandinChoices& choices);
std::string EncodeRegistrationEntry(const VmRegistration& registration);

// Absent where the request is no call to the store.
std::optional<StoreCall> DecodePlatformStoreCall(const HttpRequest& request);
HttpResponse EncodePlatformStoreReply(const StoreCall& call,
                                      const StoreReply& reply);

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_PLATFORM_DOCUMENTS_H_
