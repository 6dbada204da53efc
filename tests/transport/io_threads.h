#ifndef TESTS_TRANSPORT_IO_THREADS_H_
#define TESTS_TRANSPORT_IO_THREADS_H_

#include <cstddef>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace gcw {

// An io_context that several threads run until `Stop` or destruction.
class IoThreads {
 public:
  explicit IoThreads(std::size_t count = 3)
      : guard_(boost::asio::make_work_guard(context_)) {
    for (std::size_t i = 0; i < count; ++i) {
      threads_.emplace_back([this] { context_.run(); });
    }
  }
  ~IoThreads() { Stop(); }
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& context() { return context_; }
  void Stop() {
    context_.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::vector<std::thread> threads_;
};

}  // namespace gcw

#endif  // TESTS_TRANSPORT_IO_THREADS_H_
