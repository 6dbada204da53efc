#ifndef CORE_RESULT_H_
#define CORE_RESULT_H_

#include <variant>

namespace gcw {

// Either a value or the typed reason why there is none. Each module defines
// its own error type; a bare string is never one.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

template <typename Value, typename Error>
constexpr bool IsOk(const std::variant<Value, Error>& result) {
  return result.index() == 0;
}

// The value of a result known to hold one.
template <typename Value, typename Error>
constexpr const Value& ValueOf(const std::variant<Value, Error>& result) {
  return std::get<0>(result);
}

template <typename Value, typename Error>
constexpr Value& ValueOf(std::variant<Value, Error>& result) {
  return std::get<0>(result);
}

// The error of a result known to hold one.
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
