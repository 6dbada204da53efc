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

// Passes an answer on, unless a fault swallows it: the exchange went silent, or
// its answer is to be lost. Not thread-safe.
class FaultyResponder : public HttpResponder,
                        public std::enable_shared_from_this<FaultyResponder> {
 public:
  // Silenced exchanges, kept here since a connection would close with the last
  // owner of its responder.
  using Silenced = std::set<std::shared_ptr<FaultyResponder>>;

  // `faults` and `silenced` outlive the exchange. With `loses_answer` the
  // connection closes in place of an answer.
  static std::shared_ptr<FaultyResponder> Wrap(
      std::shared_ptr<HttpResponder> inner,
      const Faults& faults,
      Silenced& silenced,
      bool loses_answer);

  // Never answers, and keeps the connection open.
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
                  Silenced& silenced,
                  bool loses_answer);

  // Whether nothing may be sent; stays so, since a stream that went on later
  // would have a hole.
  bool IsSilenced();
  void HandleCallerGone();

  std::shared_ptr<HttpResponder> inner_;
  const Faults* faults_;
  Silenced* silenced_;
  bool loses_answer_;
  std::int64_t epoch_;
  bool is_silenced_ = false;
  bool caller_gone_ = false;
  std::function<void()> caller_gone_hook_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_FAULTY_RESPONDER_H_
