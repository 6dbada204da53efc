#ifndef TRANSPORT_APPENDING_BODY_H_
#define TRANSPORT_APPENDING_BODY_H_

#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

namespace gcw {

// Beast body that holds the bytes received since it was last emptied. Unlike
// Beast's string body it does not reserve the announced length: many senders
// that announce a long body and send none would occupy that memory.
struct AppendingBody {
  using value_type = std::string;

  // Beast's Body concept requires this name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>&,
              boost::system::error_code& error) {
      error = {};
    }

    template <class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers,
                    boost::system::error_code& error) {
      error = {};
      std::size_t taken = 0;
      for (const boost::asio::const_buffer buffer :
           boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        taken += buffer.size();
      }
      return taken;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace gcw

#endif  // TRANSPORT_APPENDING_BODY_H_
