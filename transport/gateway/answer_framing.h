#ifndef TRANSPORT_GATEWAY_ANSWER_FRAMING_H_
#define TRANSPORT_GATEWAY_ANSWER_FRAMING_H_

namespace gcw {

// How the events of a stream's answer ended.
enum class StreamEnd {
  kComplete,
  // The endpoint closed the connection before the end of the answer.
  kClosedEarly,
  // The answer has a proper end in the middle of an event.
  kMalformed,
};

// `ends_with_connection` is that of the answer's head. `has_events` is true if
// any event arrived, `has_partial_event` if the last one is not whole.
StreamEnd FindStreamEnd(bool ends_with_connection,
                        bool has_events,
                        bool has_partial_event);

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_ANSWER_FRAMING_H_
