#include "protocol/json_reader.h"

#include <cmath>

namespace gcw {
namespace {

const boost::json::value& NullValue() {
  static const boost::json::value value;
  return value;
}

}  // namespace

JsonReader::JsonReader(const boost::json::value& value,
                       std::string path,
                       std::optional<CodecError>& error)
    : object_(value.if_object()), path_(std::move(path)), error_(&error) {
  if (object_ == nullptr && !error) {
    error = CodecError{CodecErrorKind::kWrongType, path_};
  }
}

bool JsonReader::Has(std::string_view name) const {
  return object_ != nullptr && object_->contains(name);
}

bool JsonReader::IsPresent(std::string_view name) const {
  if (!Has(name)) {
    return false;
  }
  return !object_->if_contains(name)->is_null();
}

std::string JsonReader::String(std::string_view name) {
  const boost::json::string* text = Field(name).if_string();
  if (text == nullptr) {
    Fail(CodecErrorKind::kWrongType, name);
    return {};
  }
  return std::string(text->data(), text->size());
}

std::int64_t JsonReader::Integer(std::string_view name) {
  const boost::json::value& field = Field(name);
  const std::int64_t* number = field.if_int64();
  if (number == nullptr) {
    Fail(field.is_uint64() ? CodecErrorKind::kOutOfRange
                           : CodecErrorKind::kWrongType,
         name);
    return 0;
  }
  if (*number > kMaxInteger || *number < -kMaxInteger) {
    Fail(CodecErrorKind::kOutOfRange, name);
    return 0;
  }
  return *number;
}

std::int64_t JsonReader::Count(std::string_view name) {
  const std::int64_t number = Integer(name);
  if (number < 0) {
    Fail(CodecErrorKind::kOutOfRange, name);
    return 0;
  }
  return number;
}

std::int64_t JsonReader::CountUpTo(std::string_view name, std::int64_t max) {
  const std::int64_t number = Count(name);
  if (number > max) {
    Fail(CodecErrorKind::kOutOfRange, name);
    return 0;
  }
  return number;
}

double JsonReader::Number(std::string_view name) {
  const boost::json::value& field = Field(name);
  if (const double* number = field.if_double()) {
    if (!std::isfinite(*number)) {
      Fail(CodecErrorKind::kOutOfRange, name);
      return 0;
    }
    return *number;
  }
  return static_cast<double>(Integer(name));
}

bool JsonReader::Bool(std::string_view name) {
  const bool* flag = Field(name).if_bool();
  if (flag == nullptr) {
    Fail(CodecErrorKind::kWrongType, name);
    return false;
  }
  return *flag;
}

std::vector<std::string> JsonReader::Strings(std::string_view name) {
  std::vector<std::string> texts;
  const boost::json::array* array = Field(name).if_array();
  if (array == nullptr) {
    Fail(CodecErrorKind::kWrongType, name);
    return texts;
  }
  for (const boost::json::value& value : *array) {
    const boost::json::string* text = value.if_string();
    if (text == nullptr) {
      Fail(CodecErrorKind::kWrongType, name);
      return texts;
    }
    texts.emplace_back(text->data(), text->size());
  }
  return texts;
}

Time JsonReader::TimeMillis(std::string_view name) {
  return Time::FromMillis(Count(name));
}

Duration JsonReader::DurationMillis(std::string_view name) {
  return Duration::Millis(Count(name));
}

Duration JsonReader::FractionalMillis(std::string_view name) {
  const double millis = Number(name);
  if (std::abs(millis) > static_cast<double>(kMaxInteger)) {
    Fail(CodecErrorKind::kOutOfRange, name);
    return Duration();
  }
  return Duration::Millis(std::llround(millis));
}

void JsonReader::Fail(CodecErrorKind kind, std::string_view name) {
  if (!*error_) {
    *error_ = CodecError{kind, FieldPath(name)};
  }
}

const boost::json::value& JsonReader::Field(std::string_view name) {
  if (!Has(name)) {
    Fail(CodecErrorKind::kMissing, name);
    return NullValue();
  }
  return *object_->if_contains(name);
}

std::string JsonReader::FieldPath(std::string_view name) const {
  std::string path = path_;
  if (!path.empty()) {
    path += '.';
  }
  path += name;
  return path;
}

}  // namespace gcw
