#include "fakes/fault_http_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "clementineloom/concurrency/duty_thread.h"
#include "fakes/connection_faults.h"
#include "net/detail/beast_conversion.h"
#include "net/listen.h"
#include "net/parse_endpoint.h"
#include "net/refusal_response.h"

namespace clementineloom::fakes {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr std::string_view kFaultsTarget = "/v1/faults";
constexpr std::array<std::string_view, 5> kCommonKeys{"refuse", "freeze", "delay_ms", "lose_answer",
                                                      "silent"};
constexpr std::uint64_t kMaxBodyBytes = 16 * 1024 * 1024;

struct Session {
  beast::tcp_stream stream;
  bool is_silent = false;
};

// Shared by the waiting session and the reply that the handler may retain.
struct Exchange {
  asio::steady_timer answered;
  std::optional<net::HttpResponse> response;
};

}  // namespace

class FaultHttpServer::Impl {
 public:
  Impl(std::vector<std::string> fault_keys, Handler handler)
      : fault_keys_(std::move(fault_keys)),
        handler_(std::move(handler)),
        acceptor_(context_),
        thawed_(context_, asio::steady_timer::time_point::max()),
        work_(asio::make_work_guard(context_)) {}

  ~Impl() { Stop(); }

  Result<void> Listen(const std::string& listen) {
    BOOST_LEAF_AUTO(endpoint, net::ParseEndpoint(listen));
    BOOST_LEAF_CHECK(net::Listen(acceptor_, endpoint));
    port_ = acceptor_.local_endpoint().port();
    return {};
  }

  void StartThread(const std::string& name) {
    asio::co_spawn(context_, Accept(), asio::detached);
    thread_.emplace(name, [this] { context_.run(); });
  }

  void Stop() {
    context_.stop();
    thread_.reset();
  }

  std::uint16_t port() const { return port_; }
  asio::any_io_executor executor() { return context_.get_executor(); }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      error_code ec;
      Tcp::socket socket =
          co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      socket.set_option(Tcp::no_delay(true), ec);
      asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(Tcp::socket socket) {
    Session session{beast::tcp_stream(std::move(socket))};
    sessions_.insert(&session);
    beast::flat_buffer buf;
    bool keep_alive = true;
    while (keep_alive) {
      keep_alive = co_await ServeOne(session, buf);
    }
    sessions_.erase(&session);
  }

  asio::awaitable<bool> ServeOne(Session& session, beast::flat_buffer& buf) {
    error_code ec;
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    co_await http::async_read(session.stream, buf, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return false;
    }
    const bool keep_alive = parser.get().keep_alive();
    const net::HttpRequest request = net::detail::FromBeast(parser.release());
    if (request.target == kFaultsTarget) {
      const net::HttpResponse response = co_await ChangeFaults(session, request);
      co_return co_await Write(session, response, keep_alive) && keep_alive;
    }
    while (faults_.freeze) {
      co_await thawed_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (session.is_silent) {
      co_return true;
    }
    co_return co_await Answer(session, request, keep_alive) && keep_alive;
  }

  asio::awaitable<bool> Answer(Session& session, const net::HttpRequest& request, bool keep_alive) {
    if (faults_.refuse) {
      const Refusal refusal{ResultCode::kOverloaded, RunState::kDidNotRun, "fault: refuse"};
      co_return co_await Write(session, net::RefusalResponse(refusal), keep_alive);
    }
    const bool is_lost = request.method != "GET" && faults_.lose_answer > 0;
    if (is_lost) {
      --faults_.lose_answer;
    }
    const net::HttpResponse response = co_await Handle(request);
    co_await Delay();
    if (is_lost) {
      co_return false;
    }
    if (session.is_silent) {
      co_return true;
    }
    co_return co_await Write(session, response, keep_alive);
  }

  asio::awaitable<net::HttpResponse> Handle(const net::HttpRequest& request) {
    const auto exchange = std::make_shared<Exchange>(
        Exchange{asio::steady_timer(context_, asio::steady_timer::time_point::max()), {}});
    handler_(request, [exchange](net::HttpResponse response) {
      exchange->response = std::move(response);
      exchange->answered.cancel();
    });
    while (!exchange->response) {
      error_code ec;
      co_await exchange->answered.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return *exchange->response;
  }

  asio::awaitable<void> Delay() {
    if (faults_.delay_ms == 0) {
      co_return;
    }
    error_code ec;
    asio::steady_timer delay(context_, std::chrono::milliseconds(faults_.delay_ms));
    co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }

  asio::awaitable<net::HttpResponse> ChangeFaults(Session& session,
                                                  const net::HttpRequest& request) {
    const auto refusal = RefusalOf([&] { return ApplyFaults(session, request.body); });
    if (refusal) {
      co_return net::RefusalResponse(*refusal);
    }
    co_return co_await Handle(request);
  }

  Result<void> ApplyFaults(const Session& session, const std::string& body) {
    error_code ec;
    const json::value value = json::parse(body, ec);
    if (ec || !value.is_object()) {
      return Refuse(ResultCode::kMalformedDocument, "object expected");
    }
    for (const auto& it : value.get_object()) {
      if (!IsFaultKey(it.key())) {
        return Refuse(ResultCode::kUnknownKey, std::string(it.key()));
      }
    }
    const codec::detail::JsonReader reader(value.get_object());
    BOOST_LEAF_ASSIGN(faults_, WithChanges(faults_, reader));
    if (reader.Has("silent")) {
      SilenceAllBut(session);
    }
    thawed_.cancel();
    return {};
  }

  bool IsFaultKey(std::string_view key) const {
    return std::ranges::find(kCommonKeys, key) != kCommonKeys.end() ||
           std::ranges::find(fault_keys_, key) != fault_keys_.end();
  }

  void SilenceAllBut(const Session& session) {
    for (Session* it : sessions_) {
      it->is_silent = it->is_silent || it != &session;
    }
  }

  asio::awaitable<bool> Write(Session& session, const net::HttpResponse& response,
                              bool keep_alive) {
    error_code ec;
    auto message = net::detail::ToBeast(response, keep_alive);
    co_await http::async_write(session.stream, message,
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
  }

  const std::vector<std::string> fault_keys_;
  const Handler handler_;
  asio::io_context context_{1};
  Tcp::acceptor acceptor_;
  asio::steady_timer thawed_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::set<Session*> sessions_;
  ConnectionFaults faults_;
  std::uint16_t port_ = 0;
  // Last, so that it is joined before anything that it uses is destroyed.
  std::optional<DutyThread> thread_;
};

Result<std::unique_ptr<FaultHttpServer>> FaultHttpServer::Start(const std::string& name,
                                                                const std::string& listen,
                                                                std::vector<std::string> fault_keys,
                                                                Handler handler) {
  auto impl = std::make_unique<Impl>(std::move(fault_keys), std::move(handler));
  BOOST_LEAF_CHECK(impl->Listen(listen));
  impl->StartThread(name);
  return std::unique_ptr<FaultHttpServer>(new FaultHttpServer(std::move(impl)));
}

FaultHttpServer::FaultHttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
FaultHttpServer::~FaultHttpServer() = default;

void FaultHttpServer::Stop() { impl_->Stop(); }

std::uint16_t FaultHttpServer::port() const { return impl_->port(); }

asio::any_io_executor FaultHttpServer::executor() const { return impl_->executor(); }

}  // namespace clementineloom::fakes
