#ifndef PROGRAMS_GCW_STANDIN_EXECUTION_COUNTS_H_
#define PROGRAMS_GCW_STANDIN_EXECUTION_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gcw {

// Counts actual executions, so that a test can compare them with what callers
// were told.
class ExecutionCounts {
 public:
  // Counts one execution. `name` is the caller's identifier of the request,
  // empty if it gave none.
  void Count(const std::string& name, std::string_view content);

  std::int64_t total() const { return total_; }
  std::int64_t CountByName(const std::string& name) const;
  std::int64_t OfContent(std::string_view content) const;

  // Returns {"total", "<names>": {name: count}, "contents": {hash: count}}.
  std::string ToJson(std::string_view names) const;

 private:
  std::int64_t total_ = 0;
  std::map<std::string, std::int64_t> by_name_;
  // The key is the hash of the content in hexadecimal digits.
  std::map<std::string, std::int64_t> by_content_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_EXECUTION_COUNTS_H_
