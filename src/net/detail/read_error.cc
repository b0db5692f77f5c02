#include "net/detail/read_error.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace clementineloom::net::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

bool IsDisconnect(const error_code& ec) {
  return ec == http::error::end_of_stream || ec == asio::error::connection_reset ||
         ec == asio::error::operation_aborted || ec == asio::error::eof ||
         ec == http::error::partial_message || ec == asio::error::broken_pipe;
}

Refusal RefusalOfReadError(const error_code& ec) {
  if (ec == http::error::body_limit || ec == http::error::header_limit) {
    return {ResultCode::kRequestTooLarge, RunState::kDidNotRun, ec.message()};
  }
  if (ec == beast::error::timeout) {
    return {ResultCode::kCallerTooSlow, RunState::kDidNotRun, "request not received in time"};
  }
  return {ResultCode::kMalformedRequest, RunState::kDidNotRun, ec.message()};
}

}  // namespace clementineloom::net::detail
