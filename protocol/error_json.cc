#include "protocol/error_json.h"

#include <boost/json.hpp>

namespace gcw {
namespace {

namespace json = boost::json;

constexpr std::string_view kNotRun = "not_run";

}  // namespace

std::string WriteError(std::string_view type,
                       std::string_view message,
                       const RequestId& request,
                       Duration retry_after) {
  json::object error{{"type", type}, {"message", message}};
  if (!request.empty()) {
    error["request"] = request.value();
  }
  if (retry_after > Duration()) {
    error["retry_after_ms"] = retry_after.millis();
  }
  return json::serialize(json::object{{"error", error}});
}

bool IsNotRunError(std::string_view body) {
  json::error_code failure;
  const json::value value = json::parse(body, failure);
  if (failure || !value.is_object()) {
    return false;
  }
  const json::value* error = value.get_object().if_contains("error");
  if (error == nullptr || !error->is_object()) {
    return false;
  }
  const json::value* type = error->get_object().if_contains("type");
  return type != nullptr && type->is_string() &&
         std::string_view(type->get_string()) == kNotRun;
}

}  // namespace gcw
