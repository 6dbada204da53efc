#ifndef PROTOCOL_SSE_EVENT_SPLITTER_H_
#define PROTOCOL_SSE_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gcw {

// Splits a stream of server-sent events into whole events without changing a
// byte, and tracks their ids. An endpoint may fail in the middle of an event.
// If the caller had already received the beginning of that event, it could not
// be continued with the events of another run.
class SseEventSplitter {
 public:
  // Bounds the buffer: an endpoint that never ends an event would otherwise
  // exhaust the memory.
  static constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

  // `resumed_after` is the id of the last event that the caller has, if any.
  explicit SseEventSplitter(std::optional<std::int64_t> resumed_after)
      : last_id_(resumed_after) {}

  // Returns the events that `bytes` completes; the view is valid until the next
  // call. Returns nullopt, then and in all later calls, if an unfinished event
  // is too long, or if an event has no id or an id that is not one more than
  // that of the event before it.
  std::optional<std::string_view> Feed(std::string_view bytes);

  // The id of the last whole event.
  std::optional<std::int64_t> last_id() const { return last_id_; }
  // Size of the beginning of an unfinished event in the buffer.
  std::size_t partial_event_bytes() const {
    return buffer_.size() - returned_bytes_;
  }
  bool has_partial_event() const { return partial_event_bytes() > 0; }

 private:
  bool ReadEventId(std::string_view event);

  std::string buffer_;
  // Number of bytes at the start of the buffer that `Feed` has returned.
  std::size_t returned_bytes_ = 0;
  std::optional<std::int64_t> last_id_;
  bool failed_ = false;
};

}  // namespace gcw

#endif  // PROTOCOL_SSE_EVENT_SPLITTER_H_
