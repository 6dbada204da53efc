#ifndef PROTOCOL_SSE_PARSER_H_
#define PROTOCOL_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace gcw {

// Extracts the data of the events from a stream of server-sent events, however
// the bytes are split over reads.
class SseParser {
 public:
  // Bounds the buffers: an endpoint that never ends a line would otherwise
  // exhaust the memory.
  static constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

  using DataHook = std::function<void(std::string_view data)>;

  // Calls `on_data` for each event that `bytes` completes. Returns false, then
  // and in all later calls, if an event exceeds `kMaxEventBytes`.
  bool Feed(std::string_view bytes, const DataHook& on_data);

 private:
  void ProcessLine(std::string_view line, const DataHook& on_data);

  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool failed_ = false;
};

}  // namespace gcw

#endif  // PROTOCOL_SSE_PARSER_H_
