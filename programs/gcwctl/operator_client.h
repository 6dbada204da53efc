#ifndef PROGRAMS_GCWCTL_OPERATOR_CLIENT_H_
#define PROGRAMS_GCWCTL_OPERATOR_CLIENT_H_

#include <string>

#include <boost/json/object.hpp>

#include "transport/transport.h"

namespace gcw {

enum class OperatorCallErrorKind {
  kAddressMalformed,
  // No connection; nothing was sent.
  kUnreachable,
  // The request was sent and no complete response arrived. A change may have
  // been made.
  kNoAnswer,
  kAnswerMalformed,
};

struct OperatorCallError {
  OperatorCallErrorKind kind;
};

struct OperatorAnswer {
  int status = 0;
  boost::json::object body;
};

// Blocking client of a node's operator port.
class OperatorClient {
 public:
  OperatorClient(Address node, Secret credential, Duration timeout);

  Result<OperatorAnswer, OperatorCallError> Call(const std::string& method,
                                                 const std::string& target,
                                                 const std::string& body = "");

  const Address& node() const { return node_; }

 private:
  Address node_;
  Secret credential_;
  Duration timeout_;
};

// Percent-encodes a query parameter.
std::string EscapeQuery(std::string_view text);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_OPERATOR_CLIENT_H_
