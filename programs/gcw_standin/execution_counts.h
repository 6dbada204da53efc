#ifndef PROGRAMS_GCW_STANDIN_EXECUTION_COUNTS_H_
#define PROGRAMS_GCW_STANDIN_EXECUTION_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gcw {

// Counts how often something truly ran, so that a test can tell what a caller
// was told from what happened.
class ExecutionCounts {
 public:
  // `name` is what the caller calls it; none where empty.
  void Count(const std::string& name, std::string_view content);

  std::int64_t total() const { return total_; }
  std::int64_t OfName(const std::string& name) const;
  std::int64_t OfContent(std::string_view content) const;

  // {"total", "<names>": {name: count}, "contents": {hash: count}}
  std::string ToJson(std::string_view names) const;

 private:
  std::int64_t total_ = 0;
  std::map<std::string, std::int64_t> by_name_;
  // By the content's hash in hexadecimal digits.
  std::map<std::string, std::int64_t> by_content_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_EXECUTION_COUNTS_H_
