#ifndef PROTOCOL_EVENT_CUTTER_H_
#define PROTOCOL_EVENT_CUTTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gcw {

// Cuts a stream of server-sent events into whole events without changing a
// byte, and follows their ids. An endpoint may break off within an event; a
// caller that had been given its beginning could not go on with another run's.
class EventCutter {
 public:
  // Without a bound an endpoint that never ends an event would fill the memory.
  static constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

  // `resumed_after` is the last event that the caller has, where it has one.
  explicit EventCutter(std::optional<std::int64_t> resumed_after)
      : last_id_(resumed_after) {}

  // The whole events that `bytes` completes; valid until the next call. Absent,
  // and for good, where an event is too long, has no id or one that does not
  // follow the one before it.
  std::optional<std::string_view> Feed(std::string_view bytes);

  // Of the last whole event.
  std::optional<std::int64_t> last_id() const { return last_id_; }
  // Whether bytes of an event are left that never ended.
  bool has_rest() const { return whole_ < buffer_.size(); }

 private:
  bool TakeEvent(std::string_view event);

  std::string buffer_;
  // Bytes at the start of the buffer that were given out.
  std::size_t whole_ = 0;
  std::optional<std::int64_t> last_id_;
  bool failed_ = false;
};

}  // namespace gcw

#endif  // PROTOCOL_EVENT_CUTTER_H_
