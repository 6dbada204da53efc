#ifndef PROGRAMS_GCW_STANDIN_FAULTY_RESPONDER_H_
#define PROGRAMS_GCW_STANDIN_FAULTY_RESPONDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "programs/gcw_standin/faults.h"
#include "transport/transport.h"

namespace gcw {

// Forwards an answer to another responder, unless a fault has silenced the
// exchange or drops its answer. Not thread-safe.
class FaultyResponder : public HttpResponder,
                        public std::enable_shared_from_this<FaultyResponder> {
 public:
  // Responders of silenced exchanges. The set keeps them alive, because a
  // connection closes when its responder is destroyed.
  using SilencedResponders = std::set<std::shared_ptr<FaultyResponder>>;

  // `faults` and `silenced` must outlive the exchange. With `loses_answer` the
  // connection is closed instead of answered.
  static std::shared_ptr<FaultyResponder> Wrap(
      std::shared_ptr<HttpResponder> inner,
      const Faults& faults,
      SilencedResponders& silenced,
      bool loses_answer);

  // Suppresses the answer and keeps the connection open.
  void Silence();

  void Respond(HttpResponse response) override;
  void StartStream(int status, std::vector<HttpHeader> headers) override;
  void Write(std::string chunk) override;
  void Finish() override;
  void Abort() override;
  std::size_t unsent_bytes() const override;
  void OnCallerGone(std::function<void()> hook) override;

 private:
  FaultyResponder(std::shared_ptr<HttpResponder> inner,
                  const Faults& faults,
                  SilencedResponders& silenced,
                  bool loses_answer);

  // Returns whether the exchange is silenced or its caller is gone. A silenced
  // exchange stays silenced when the fault ends, because a stream that
  // continued would have a gap.
  bool IsSilenced();
  void HandleCallerGone();

  std::shared_ptr<HttpResponder> inner_;
  const Faults* faults_;
  SilencedResponders* silenced_;
  bool loses_answer_;
  std::int64_t silenced_epoch_at_start_;
  bool is_silenced_ = false;
  bool caller_gone_ = false;
  std::function<void()> caller_gone_hook_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_FAULTY_RESPONDER_H_
