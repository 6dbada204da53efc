#include "programs/gcw_standin/http_answers.h"

#include <charconv>
#include <utility>

namespace gcw {

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

HttpResponse MalformedResponse(const CodecError& error) {
  return JsonResponse(400,
                      boost::json::serialize(boost::json::object{
                          {"error", ToJson(CodecErrorKindName(error.kind))},
                          {"field", error.field}}));
}

HttpResponse NotFoundResponse() {
  return JsonResponse(404, R"({"error":"unknown_path"})");
}

HttpResponse NotRunResponse(int status, std::string_view reason) {
  HttpResponse response = JsonResponse(
      status, boost::json::serialize(boost::json::object{
                  {"error", boost::json::object{{"type", "not_run"},
                                                {"reason", ToJson(reason)}}}}));
  response.headers.push_back({std::string(kNotRunHeader), "1"});
  return response;
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::int64_t> QueryNumber(std::string_view target,
                                        std::string_view name) {
  std::string_view query = target.substr(TargetPath(target).size());
  while (!query.empty()) {
    query.remove_prefix(1);
    const std::string_view field = query.substr(0, query.find('&'));
    if (field.substr(0, field.find('=')) == name &&
        field.size() > name.size()) {
      return ParseNumber(field.substr(name.size() + 1));
    }
    query.remove_prefix(field.size());
  }
  return std::nullopt;
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace gcw
