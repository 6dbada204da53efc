#include "programs/gcw_standin/execution_counts.h"

#include <boost/json.hpp>

#include "protocol/protocol.h"

namespace gcw {
namespace {

using Counts = std::map<std::string, std::int64_t>;

std::int64_t CountIn(const Counts& counts, const std::string& name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

boost::json::object CountsToJson(const Counts& counts) {
  boost::json::object object;
  for (const auto& [name, count] : counts) {
    object[name] = count;
  }
  return object;
}

}  // namespace

void ExecutionCounts::Count(const std::string& name, std::string_view content) {
  ++total_;
  if (!name.empty()) {
    ++by_name_[name];
  }
  ++by_content_[ToHex(Xxh3Hash(content))];
}

std::int64_t ExecutionCounts::CountByName(const std::string& name) const {
  return CountIn(by_name_, name);
}

std::int64_t ExecutionCounts::OfContent(std::string_view content) const {
  return CountIn(by_content_, ToHex(Xxh3Hash(content)));
}

std::string ExecutionCounts::ToJson(std::string_view names) const {
  boost::json::object object{{"total", total_},
                             {"contents", CountsToJson(by_content_)}};
  object[names] = CountsToJson(by_name_);
  return boost::json::serialize(object);
}

}  // namespace gcw
