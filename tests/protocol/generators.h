#ifndef TESTS_PROTOCOL_GENERATORS_H_
#define TESTS_PROTOCOL_GENERATORS_H_

#include <string>
#include <vector>

#include <rapidcheck.h>

#include "core/core.h"

namespace gcw {

// Returns any ASCII text, including control characters and quotes.
inline std::string AnyText() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>('\0', '\x7f'));
}

template <typename Id>
Id AnyId() {
  return Id(AnyText());
}

inline std::int64_t AnyCount() {
  return *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 53);
}

template <typename Strong>
Strong AnyNumber() {
  return Strong(AnyCount());
}

template <typename Choice>
Choice AnyOf(std::initializer_list<Choice> choices) {
  return *rc::gen::elementOf(std::vector<Choice>(choices));
}

// Returns up to four items made by `make()`.
template <typename Make>
auto AnyList(Make make) {
  std::vector<decltype(make())> items;
  const int size = *rc::gen::inRange(0, 5);
  items.reserve(size);
  for (int i = 0; i < size; ++i) {
    items.push_back(make());
  }
  return items;
}

}  // namespace gcw

#endif  // TESTS_PROTOCOL_GENERATORS_H_
