#ifndef PROGRAMS_GCW_STANDIN_PLATFORM_DOCUMENTS_H_
#define PROGRAMS_GCW_STANDIN_PLATFORM_DOCUMENTS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "platform/platform.h"

namespace gcw {

// Documents that the stand-in of the platform writes and reads. These functions
// are the inverse of the codecs in platform/.

// Returns the profile of the engines of the only model service.
EngineProfile StandinEngineProfile();
// The parts of the configuration document that the simulated operator can
// change at run time.
struct StandinConfigurationOptions {
  std::int64_t version = 1;
  std::int64_t max_body_bytes = 4194304;
  std::string key = "standin-key";
};
// Returns the operators' configuration document. It has the models `large` (6
// VMs) and `small` (3) under `/large/` and `/small/` and a plain service under
// `/safe/`, `/once/` and, for streams, `/events/`, all on the host
// `models.example`. The only key belongs to the team `paid`.
std::string EncodeStandinConfiguration(
    const StandinConfigurationOptions& options);
std::string EncodeRegistrationEntry(const VmRegistration& registration);

// Returns nothing if the request is not a valid call to the store.
std::optional<StoreCall> DecodePlatformStoreCall(const HttpRequest& request);
HttpResponse EncodePlatformStoreReply(const StoreCall& call,
                                      const StoreReply& reply);

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_PLATFORM_DOCUMENTS_H_
