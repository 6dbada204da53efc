#include "coordination/admission/admission.h"

#include <utility>

namespace gcw {

Admission::Target::Target(const AdmissionSettings& settings,
                          const Random& random)
    : room(settings, random),
      paid(settings.paid_queue_limit, settings.quantum_tokens),
      trial(settings.trial_queue_limit, settings.quantum_tokens) {}

Admission::Admission(const AdmissionSettings& settings,
                     Random random,
                     EventSink sink,
                     Limits* limits)
    : settings_(std::make_unique<AdmissionSettings>(settings)),
      random_(std::move(random)),
      sink_(std::move(sink)),
      limits_(limits) {}

Admission::Target& Admission::FindOrAddTarget(const RequestTarget& target) {
  if (const auto* model = std::get_if<ModelTarget>(&target)) {
    return models_.try_emplace(model->model, *settings_, random_).first->second;
  }
  const ServiceId& service = std::get<ServiceTarget>(target).service;
  return services_.try_emplace(service, *settings_, random_).first->second;
}

Admission::Builder& Admission::Builder::SetSettings(
    AdmissionSettings settings) {
  settings_ = settings;
  return *this;
}

Admission::Builder& Admission::Builder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

Admission::Builder& Admission::Builder::SetEventSink(EventSink sink) {
  sink_ = std::move(sink);
  return *this;
}

Admission::Builder& Admission::Builder::SetLimits(Limits* limits) {
  limits_ = limits;
  return *this;
}

Admission Admission::Builder::Build() const {
  return {settings_, random_, sink_, limits_};
}

}  // namespace gcw
