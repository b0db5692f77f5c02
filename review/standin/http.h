#pragma once

#include <sys/socket.h>
#include <sys/time.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;

struct Answer {
  int status = 200;
  std::string body;
  // An answer that is never sent: the connection stays open and silent.
  bool is_silent = false;
};

// A small HTTP server on a loopback address, with a thread for each connection.
class Server {
 public:
  using Handler = std::function<Answer(const Request&)>;

  explicit Server(Handler handler)
      : handler_(std::move(handler)), acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {
    port_ = acceptor_.local_endpoint().port();
    std::thread([this] { Accept(); }).detach();
  }

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept() {
    while (true) {
      boost::system::error_code ec;
      Tcp::socket socket = acceptor_.accept(ec);
      if (!ec) {
        std::thread([this, it = std::make_shared<Tcp::socket>(std::move(socket))] {
          Serve(*it);
        }).detach();
      }
    }
  }

  void Serve(Tcp::socket& socket) {
    boost::system::error_code ec;
    socket.set_option(Tcp::no_delay(true), ec);
    boost::beast::flat_buffer buf;
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(std::uint64_t{8} * 1024 * 1024);
      http::read(socket, buf, parser, ec);
      if (ec) {
        return;
      }
      const Request request = parser.release();
      const Answer answer = handler_(request);
      if (answer.is_silent) {
        std::this_thread::sleep_for(std::chrono::seconds(120));
        return;
      }
      http::response<http::string_body> response(static_cast<http::status>(answer.status), 11);
      response.set("Content-Type", "application/json");
      response.body() = answer.body;
      response.keep_alive(request.keep_alive());
      response.prepare_payload();
      http::write(socket, response, ec);
      if (ec || !request.keep_alive()) {
        return;
      }
    }
  }

  const Handler handler_;
  asio::io_context context_;
  Tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
};

// One call; status 0 if there is no answer in time.
inline Answer Call(const std::string& address, http::verb method, const std::string& target,
                   const std::string& host, const std::string& key, const std::string& body) {
  constexpr int kTimeoutS = 3;
  try {
    asio::io_context context;
    Tcp::socket socket(context);
    const auto colon = address.find(':');
    socket.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    const timeval limit{kTimeoutS, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    Request request(method, target, 11);
    request.set("Host", host);
    request.set("Authorization", "Token " + key);
    request.set("X-Clementineloom-Deadline-Ms", "3000");
    request.set("Connection", "close");
    request.set("Content-Type", "application/json");
    request.body() = body;
    request.prepare_payload();
    // Plain calls, so that the time limit of the socket holds.
    std::string text;
    {
      std::ostringstream out;
      out << request;
      text = out.str();
    }
    for (std::size_t sent = 0; sent < text.size();) {
      const auto n =
          send(socket.native_handle(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return {0, {}};
      }
      sent += static_cast<std::size_t>(n);
    }
    std::string got;
    char part[4096];
    while (true) {
      const auto n = recv(socket.native_handle(), part, sizeof part, 0);
      if (n < 0) {
        return {0, {}};
      }
      if (n == 0) {
        break;
      }
      got.append(part, static_cast<std::size_t>(n));
    }
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code ec;
    parser.put(asio::buffer(got), ec);
    if (ec && ec != http::error::need_more) {
      return {0, {}};
    }
    return {static_cast<int>(parser.get().result_int()), parser.get().body()};
  } catch (const std::exception&) {
    return {0, {}};
  }
}

}  // namespace review
