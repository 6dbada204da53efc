#ifndef PROGRAMS_GCW_LOAD_CHAT_EXCHANGE_H_
#define PROGRAMS_GCW_LOAD_CHAT_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "programs/gcw_load/request_sender.h"
#include "programs/gcw_load/stream_checker.h"

namespace gcw {

// One model request, from its send until its outcome is recorded. Its callbacks
// keep it alive until then.
class ChatExchange : public std::enable_shared_from_this<ChatExchange> {
 public:
  ChatExchange(LoadContext& context, PlannedRequest planned);

  void Start(const std::string& prompt);

 private:
  ChatRequest MakeChatRequest(const std::string& prompt) const;
  HttpRequest MakeRequest(const ChatRequest& chat) const;
  HttpCallHandlers MakeHandlers();
  void OnBody(std::string_view chunk);
  void OnTokens(int count);
  void OnEnd();
  void OnFailure(HttpFailure failure);
  void RecordVerdict(const AnswerVerdict& verdict);
  void RecordComplete();
  void RecordType(TypeCounts KindTally::*counts, std::string_view type);
  bool is_streamed() const;

  LoadContext& context_;
  PlannedRequest planned_;
  ExpectedAnswer expected_;
  std::optional<StreamChecker> checker_;
  // The head, and the body unless the answer is streamed.
  HttpResponse response_;
  std::optional<std::chrono::microseconds> first_token_;
  std::vector<std::chrono::microseconds> token_gaps_;
  LoadClock::time_point last_token_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_CHAT_EXCHANGE_H_
