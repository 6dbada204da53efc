#include "programs/gcw_load/chat_exchange.h"

#include <utility>

#include "programs/gcw_load/error_answer.h"

namespace gcw {
namespace {

constexpr int kStatusOk = 200;
// The status until the head arrives.
constexpr int kNoStatus = 0;
constexpr std::string_view kTrialPriority = "1";
constexpr std::string_view kPaidPriority = "0";

}  // namespace

ChatExchange::ChatExchange(LoadContext& context, PlannedRequest planned)
    : context_(context), planned_(std::move(planned)) {
  response_.status = kNoStatus;
}

void ChatExchange::Start(const std::string& prompt) {
  const ChatRequest chat = MakeChatRequest(prompt);
  if (context_.settings.reference) {
    expected_.text = ReferenceAnswer(BuildPrompt(chat), chat.max_tokens);
  }
  if (context_.settings.generation) {
    expected_.attempt = AttemptId(planned_.name);
  }
  if (is_streamed()) {
    checker_.emplace(expected_);
  }
  std::make_shared<RequestSender>(context_, planned_.kind)
      ->Send(MakeRequest(chat), MakeHandlers());
}

ChatRequest ChatExchange::MakeChatRequest(const std::string& prompt) const {
  ChatRequest chat;
  chat.model = context_.settings.model;
  chat.messages = {{"user", prompt}};
  chat.max_tokens = context_.settings.max_tokens;
  chat.stream = is_streamed();
  return chat;
}

HttpRequest ChatExchange::MakeRequest(const ChatRequest& chat) const {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = CallerHeaders(context_.settings, planned_.kind);
  request.body = EncodeChatRequest(chat);
  if (const auto& generation = context_.settings.generation) {
    const std::string_view priority =
        IsTrial(planned_.kind) ? kTrialPriority : kPaidPriority;
    request.headers.push_back({std::string(kAttemptHeader), planned_.name});
    request.headers.push_back(
        {std::string(kGenerationHeader), std::to_string(generation->value())});
    request.headers.push_back(
        {std::string(kPriorityHeader), std::string(priority)});
  }
  return request;
}

HttpCallHandlers ChatExchange::MakeHandlers() {
  const auto self = shared_from_this();
  HttpCallHandlers handlers;
  handlers.on_head = [self](const HttpResponse& head) {
    self->response_ = head;
  };
  handlers.on_body = [self](std::string_view chunk) { self->OnBody(chunk); };
  handlers.on_end = [self] { self->OnEnd(); };
  handlers.on_failure = [self](HttpFailure failure) {
    self->OnFailure(failure);
  };
  return handlers;
}

void ChatExchange::OnBody(std::string_view chunk) {
  if (is_streamed() && response_.status == kStatusOk) {
    OnTokens(checker_->OnBytes(chunk));
    return;
  }
  response_.body += chunk;
}

// Tokens that arrive in one chunk have a gap of 0 between them.
void ChatExchange::OnTokens(int count) {
  if (count == 0) {
    return;
  }
  const LoadClock::time_point now = LoadClock::now();
  for (int i = 0; i < count; ++i) {
    if (!first_token_) {
      first_token_ = ElapsedSince(planned_.planned_at);
    } else {
      token_gaps_.push_back(
          std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                                last_token_));
    }
    last_token_ = now;
  }
}

void ChatExchange::OnEnd() {
  if (response_.status != kStatusOk) {
    const FailedAnswer failed = ReadFailedAnswer(response_);
    RecordType(failed.kind == FailedAnswerKind::kNotRun ? &KindTally::refused
                                                        : &KindTally::unknown,
               failed.type);
    return;
  }
  RecordVerdict(is_streamed() ? checker_->OnEnd()
                              : CheckWholeAnswer(response_.body, expected_));
}

void ChatExchange::OnFailure(HttpFailure failure) {
  const std::string_view name = HttpFailureKindName(failure.kind);
  if (failure.progress == HttpProgress::kNothingSent) {
    RecordType(&KindTally::refused, name);
  } else if (response_.status != kStatusOk) {
    RecordType(&KindTally::unknown, name);
  } else if (is_streamed()) {
    RecordVerdict(checker_->OnFailure(name));
  } else {
    RecordType(&KindTally::broken, name);
  }
}

void ChatExchange::RecordVerdict(const AnswerVerdict& verdict) {
  std::visit(Overloaded{[this](const CompleteVerdict&) { RecordComplete(); },
                        [this](const BrokenVerdict& broken) {
                          RecordType(&KindTally::broken, broken.type);
                        },
                        [this](const ViolationVerdict& violation) {
                          RecordType(&KindTally::violations,
                                     AnswerFaultName(violation.fault));
                        }},
             verdict);
}

void ChatExchange::RecordComplete() {
  const auto total = ElapsedSince(planned_.planned_at);
  context_.recorder.Record([this, total](LoadTally& tally, KeyLedger&) {
    KindTally& counts = tally.of(planned_.kind);
    ++counts.answered;
    counts.total.Add(total);
    if (first_token_) {
      counts.first_token.Add(*first_token_);
    }
    for (const std::chrono::microseconds gap : token_gaps_) {
      counts.between_tokens.Add(gap);
    }
  });
  planned_.on_done();
}

void ChatExchange::RecordType(TypeCounts KindTally::*counts,
                              std::string_view type) {
  context_.recorder.Record([&](LoadTally& tally, KeyLedger&) {
    ++(tally.of(planned_.kind).*counts)[std::string(type)];
  });
  planned_.on_done();
}

bool ChatExchange::is_streamed() const {
  return IsStream(planned_.kind);
}

}  // namespace gcw
