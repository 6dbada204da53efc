#ifndef PROGRAMS_GCW_LOAD_REQUEST_KIND_H_
#define PROGRAMS_GCW_LOAD_REQUEST_KIND_H_

#include <array>
#include <string_view>

namespace gcw {

enum class RequestKind {
  kPaidStream,
  kPaidWhole,
  kTrialStream,
  kTrialWhole,
  kReservation,
};

// All kinds, in the order of the report.
inline constexpr std::array kRequestKinds = {
    RequestKind::kPaidStream, RequestKind::kPaidWhole,
    RequestKind::kTrialStream, RequestKind::kTrialWhole,
    RequestKind::kReservation};

std::string_view RequestKindName(RequestKind kind);
bool IsStream(RequestKind kind);
bool IsTrial(RequestKind kind);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_REQUEST_KIND_H_
