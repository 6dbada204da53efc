#ifndef CORE_RESULT_H_
#define CORE_RESULT_H_

#include <variant>

namespace gcw {

// Either a value or a typed error. Each module defines its own error type,
// never a plain string.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

template <typename Value, typename Error>
constexpr bool IsOk(const std::variant<Value, Error>& result) {
  return result.index() == 0;
}

// Returns the value of a result that is known to hold one.
template <typename Value, typename Error>
constexpr const Value& ValueOf(const std::variant<Value, Error>& result) {
  return std::get<0>(result);
}

template <typename Value, typename Error>
constexpr Value& ValueOf(std::variant<Value, Error>& result) {
  return std::get<0>(result);
}

// Returns the error of a result that is known to hold one.
template <typename Value, typename Error>
constexpr const Error& ErrorOf(const std::variant<Value, Error>& result) {
  return std::get<1>(result);
}

// Combines lambdas into one visitor for `std::visit`.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace gcw

#endif  // CORE_RESULT_H_
