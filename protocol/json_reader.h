#ifndef PROTOCOL_JSON_READER_H_
#define PROTOCOL_JSON_READER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "core/core.h"
#include "protocol/codec_error.h"

namespace gcw {

// The values of an enum with their names in messages.
template <typename Choice, std::size_t kSize>
using ChoiceNames = std::array<std::pair<Choice, std::string_view>, kSize>;

// Reads typed fields of a JSON object. Types are checked strictly, and fields
// that are not read are ignored. After the first fault, which is kept, reads
// return default values, so that a codec can be written as a plain list of
// fields.
class JsonReader {
 public:
  // Larger integers lose digits in other JSON libraries.
  static constexpr std::int64_t kMaxInteger = std::int64_t{1} << 53;

  // `error` and `value` must outlive the reader.
  JsonReader(const boost::json::value& value,
             std::string path,
             std::optional<CodecError>& error);

  bool Has(std::string_view name) const;
  std::string String(std::string_view name);
  std::int64_t Integer(std::string_view name);
  // Reads an integer that must not be negative.
  std::int64_t Count(std::string_view name);
  // The same for an integer of at most `max`.
  std::int64_t CountUpTo(std::string_view name, std::int64_t max);
  double Number(std::string_view name);
  bool Bool(std::string_view name);
  std::vector<std::string> Strings(std::string_view name);

  template <typename Id>
  Id TextId(std::string_view name) {
    return Id(String(name));
  }

  // Reads a `StrongNumber` that must not be negative.
  template <typename Strong>
  Strong CountOf(std::string_view name) {
    return Strong(Count(name));
  }

  Time TimeMillis(std::string_view name);
  Duration DurationMillis(std::string_view name);
  // Reads a number of milliseconds that may be a fraction.
  Duration FractionalMillis(std::string_view name);

  template <typename Choice, std::size_t kSize>
  Choice Enum(std::string_view name, const ChoiceNames<Choice, kSize>& names) {
    const std::string text = String(name);
    for (const auto& [choice, choice_name] : names) {
      if (choice_name == text) {
        return choice;
      }
    }
    Fail(CodecErrorKind::kUnknownName, name);
    return names.front().first;
  }

  // Reads a nested object with `read(JsonReader&)`.
  template <typename Read>
  auto Object(std::string_view name, Read read) {
    JsonReader nested(Field(name), FieldPath(name), *error_);
    return read(nested);
  }

  // Reads an array of objects, each with `read(JsonReader&)`.
  template <typename Read>
  auto List(std::string_view name, Read read) {
    using Item = decltype(read(std::declval<JsonReader&>()));
    std::vector<Item> items;
    const boost::json::array* array = Field(name).if_array();
    if (array == nullptr) {
      Fail(CodecErrorKind::kWrongType, name);
      return items;
    }
    items.reserve(array->size());
    for (const boost::json::value& value : *array) {
      JsonReader nested(value, FieldPath(name), *error_);
      items.push_back(read(nested));
    }
    return items;
  }

  // The same without the items that cannot be read. `on_error(CodecError)` is
  // called for each of these.
  template <typename Read, typename OnError>
  auto ReadableItems(std::string_view name, Read read, OnError on_error) {
    using Item = decltype(read(std::declval<JsonReader&>()));
    std::vector<Item> items;
    const boost::json::array* array = Field(name).if_array();
    if (array == nullptr) {
      Fail(CodecErrorKind::kWrongType, name);
      return items;
    }
    items.reserve(array->size());
    for (const boost::json::value& value : *array) {
      std::optional<CodecError> error;
      JsonReader nested(value, FieldPath(name), error);
      Item item = read(nested);
      if (error) {
        on_error(*error);
      } else {
        items.push_back(std::move(item));
      }
    }
    return items;
  }

  // True if the field exists and is not null.
  bool IsPresent(std::string_view name) const;

  // Records the fault unless there is an earlier one.
  void Fail(CodecErrorKind kind, std::string_view name);

 private:
  // Returns null and records a fault if the field is missing.
  const boost::json::value& Field(std::string_view name);
  std::string FieldPath(std::string_view name) const;

  const boost::json::object* object_;
  std::string path_;
  std::optional<CodecError>* error_;
};

// Which bytes JSON strings may contain.
enum class JsonBytes { kUtf8, kAny };

// Parses `text` and reads the result with `read(JsonReader&)`.
template <typename Read>
auto DecodeJson(std::string_view text,
                Read read,
                JsonBytes bytes = JsonBytes::kUtf8)
    -> Decoded<decltype(read(std::declval<JsonReader&>()))> {
  boost::json::error_code syntax;
  boost::json::parse_options options;
  options.allow_invalid_utf8 = bytes == JsonBytes::kAny;
  const boost::json::value value =
      boost::json::parse(text, syntax, {}, options);
  if (syntax) {
    return CodecError{CodecErrorKind::kSyntax, {}};
  }
  std::optional<CodecError> error;
  JsonReader reader(value, {}, error);
  auto message = read(reader);
  if (error) {
    return *std::move(error);
  }
  return message;
}

}  // namespace gcw

#endif  // PROTOCOL_JSON_READER_H_
