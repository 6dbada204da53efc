#include "transport/http_client.h"

#include <utility>

#include "transport/http_client_call.h"
#include "transport/http_connection_pool.h"

namespace gcw {

struct HttpClient::State {
  State(boost::asio::io_context& context,
        std::shared_ptr<DescriptorBudget> descriptors)
      : context(context),
        descriptors(std::move(descriptors)),
        pool(std::make_shared<HttpConnectionPool>(context)) {}

  boost::asio::io_context& context;
  const std::shared_ptr<DescriptorBudget> descriptors;
  const std::shared_ptr<HttpConnectionPool> pool;
};

HttpClient::HttpClient(boost::asio::io_context& context,
                       std::shared_ptr<DescriptorBudget> descriptors)
    : state_(std::make_shared<State>(context, std::move(descriptors))) {}

HttpClient::~HttpClient() {
  state_->pool->Close();
}

std::shared_ptr<HttpCall> HttpClient::Send(const Address& address,
                                           HttpRequest request,
                                           HttpCallOptions options,
                                           HttpCallHandlers handlers) {
  std::unique_ptr<HttpConnection> connection;
  if (options.reuse_connection) {
    connection = state_->pool->Take(address);
  }
  const bool pooled = connection != nullptr;
  if (!pooled) {
    connection =
        std::make_unique<HttpConnection>(state_->context, state_->descriptors);
  }
  auto call = std::make_shared<HttpClientCall>(
      std::move(connection), pooled, state_->pool, address, std::move(request),
      options, std::move(handlers));
  call->Start();
  return call;
}

std::shared_ptr<HttpCall> HttpClient::Fetch(const Address& address,
                                            HttpRequest request,
                                            HttpCallOptions options,
                                            FetchDone done) {
  auto response = std::make_shared<HttpResponse>();
  HttpCallHandlers handlers;
  handlers.on_head = [response](const HttpResponse& head) { *response = head; };
  handlers.on_body = [response](std::string_view chunk) {
    response->body += chunk;
  };
  handlers.on_end = [response, done] { done(std::move(*response)); };
  handlers.on_failure = [done = std::move(done)](HttpFailure failure) {
    done(failure);
  };
  return Send(address, std::move(request), options, std::move(handlers));
}

void HttpClient::CloseIdleConnections(const Address& address) {
  state_->pool->CloseConnections(address);
}

}  // namespace gcw
