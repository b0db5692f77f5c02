#include "rpc/rpc_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

#include "net/parse_endpoint.h"
#include "rpc/detail/json_rpc_encoder.h"

namespace clementineloom::rpc {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// Answers of job.list and worker.list at full size stay below this.
constexpr std::size_t kMaxAnswerBytes = 64 * 1024 * 1024;

// Error codes of JSON-RPC itself are negative; positive ones are ResultCode numbers.
ResultCode ToResultCode(int code) {
  return code > 0 ? static_cast<ResultCode>(code) : ResultCode::kMalformedRequest;
}

// Whether the error of JSON-RPC itself says that the handler was not called. The other ones also
// stand for an answer that cannot be read.
bool IsRejection(int code) {
  constexpr int kInvalidRequest = -32600;
  constexpr int kMethodNotFound = -32601;
  constexpr int kInvalidParams = -32602;
  return code == kInvalidRequest || code == kMethodNotFound || code == kInvalidParams;
}

// A ResultCode without a run state was sent before the handler was called.
RunState ToRunState(const std::string& name) {
  if (name == "may_have_run") {
    return RunState::kMayHaveRun;
  }
  return name == "ran" ? RunState::kRan : RunState::kDidNotRun;
}

}  // namespace

class RpcClient::Impl {
 public:
  explicit Impl(std::string address) : address_(std::move(address)) {}

  Result<boost::json::value> Call(const std::string& method, const boost::json::object& params,
                                  std::chrono::milliseconds timeout) {
    deadline_ = Clock::now() + timeout;
    BOOST_LEAF_CHECK(EnsureConnected());
    failure_.clear();
    const detail::JsonRpcOutcome outcome =
        detail::CallJsonRpc(method, boost::json::serialize(params),
                            [this](const std::string& message) { return Exchange(message); });
    if (!failure_.empty()) {
      return Refuse(ResultCode::kPeerUnavailable, address_ + ": " + failure_,
                    RunState::kMayHaveRun);
    }
    if (!outcome.is_ok && outcome.error_code <= 0 && !IsRejection(outcome.error_code)) {
      return Refuse(ResultCode::kPeerUnavailable, address_ + ": " + outcome.error_message,
                    RunState::kMayHaveRun);
    }
    if (!outcome.is_ok) {
      return Refuse(ToResultCode(outcome.error_code), outcome.error_message,
                    ToRunState(outcome.run_state));
    }
    error_code ec;
    boost::json::value value = boost::json::parse(outcome.result, ec);
    if (ec) {
      return Refuse(ResultCode::kPeerUnavailable, "result is not valid JSON",
                    RunState::kMayHaveRun);
    }
    return value;
  }

  const std::string& address() const { return address_; }

 private:
  Result<void> EnsureConnected() {
    if (socket_) {
      return {};
    }
    BOOST_LEAF_AUTO(endpoint, net::ParseEndpoint(address_));
    socket_.emplace(context_);
    error_code ec = asio::error::timed_out;
    socket_->async_connect(endpoint, [&](const error_code& result) { ec = result; });
    RunUntilDeadline();
    if (ec) {
      socket_.reset();
      return Refuse(ResultCode::kPeerUnavailable, address_ + ": " + ec.message());
    }
    socket_->set_option(Tcp::no_delay(true), ec);
    return {};
  }

  // Returns the answer, or sets failure_ and returns an empty message.
  std::string Exchange(const std::string& message) {
    const std::string line = message.ends_with('\n') ? message : message + '\n';
    std::string answer;
    error_code ec = asio::error::timed_out;
    asio::async_write(*socket_, asio::buffer(line),
                      [&](const error_code& result, std::size_t) { ec = result; });
    RunUntilDeadline();
    if (!ec) {
      ec = asio::error::timed_out;
      asio::async_read_until(*socket_, asio::dynamic_buffer(answer, kMaxAnswerBytes), '\n',
                             [&](const error_code& result, std::size_t) { ec = result; });
      RunUntilDeadline();
    }
    if (ec) {
      failure_ = ec.message();
      socket_.reset();
      return {};
    }
    return answer;
  }

  void RunUntilDeadline() {
    context_.restart();
    context_.run_until(deadline_);
    if (!context_.stopped()) {
      // The operation did not end in time: cancel it and let its handler run.
      error_code ec;
      socket_->close(ec);
      context_.run();
    }
  }

  std::string address_;
  asio::io_context context_{1};
  std::optional<Tcp::socket> socket_;
  Clock::time_point deadline_;
  std::string failure_;
};

RpcClient::RpcClient(std::string address) : impl_(std::make_unique<Impl>(std::move(address))) {}
RpcClient::~RpcClient() = default;
RpcClient::RpcClient(RpcClient&&) noexcept = default;
RpcClient& RpcClient::operator=(RpcClient&&) noexcept = default;

Result<boost::json::value> RpcClient::Call(const std::string& method,
                                           const boost::json::object& params,
                                           std::chrono::milliseconds timeout) {
  return impl_->Call(method, params, timeout);
}

const std::string& RpcClient::address() const { return impl_->address(); }

}  // namespace clementineloom::rpc
