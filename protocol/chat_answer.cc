#include "protocol/chat_answer.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

// Reads the text of the only choice from its `part` ("delta" or "message").
std::string ReadChoiceText(JsonReader& reader, std::string_view part) {
  const auto read_part = [](JsonReader& message) {
    return message.String("content");
  };
  const auto texts = reader.List("choices", [&](JsonReader& choice) {
    return choice.Object(part, read_part);
  });
  if (texts.size() != 1) {
    reader.Fail(CodecErrorKind::kOutOfRange, "choices");
    return {};
  }
  return texts.front();
}

}  // namespace

std::string EncodeChatTokenEvent(const ChatToken& token) {
  const boost::json::object choice{
      {"index", 0}, {"delta", boost::json::object{{"content", token.text}}}};
  const boost::json::object event{{"object", "chat.completion.chunk"},
                                  {"attempt", ToJson(token.attempt)},
                                  {"index", token.index},
                                  {"choices", boost::json::array{choice}}};
  std::string text = "data: ";
  text += boost::json::serialize(event);
  text += "\n\n";
  return text;
}

Decoded<ChatToken> DecodeChatToken(std::string_view data) {
  return DecodeJson(data, [](JsonReader& reader) {
    ChatToken token;
    token.attempt = reader.TextId<AttemptId>("attempt");
    token.index = reader.Count("index");
    token.text = ReadChoiceText(reader, "delta");
    return token;
  });
}

std::string EncodeChatAnswer(const ChatAnswer& answer) {
  const boost::json::object choice{
      {"index", 0},
      {"message",
       boost::json::object{{"role", "assistant"}, {"content", answer.text}}},
      {"finish_reason", "length"}};
  const boost::json::object usage{
      {"prompt_tokens", ToJson(answer.prompt_tokens)},
      {"completion_tokens", ToJson(answer.generated_tokens)}};
  return boost::json::serialize(
      boost::json::object{{"object", "chat.completion"},
                          {"attempt", ToJson(answer.attempt)},
                          {"model", ToJson(answer.model)},
                          {"choices", boost::json::array{choice}},
                          {"usage", usage}});
}

Decoded<ChatAnswer> DecodeChatAnswer(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    ChatAnswer answer;
    answer.attempt = reader.TextId<AttemptId>("attempt");
    answer.model = reader.TextId<ModelId>("model");
    answer.text = ReadChoiceText(reader, "message");
    reader.Object("usage", [&](JsonReader& usage) {
      answer.prompt_tokens = usage.CountOf<TokenCount>("prompt_tokens");
      answer.generated_tokens = usage.CountOf<TokenCount>("completion_tokens");
      return true;
    });
    return answer;
  });
}

}  // namespace gcw
