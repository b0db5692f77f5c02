// A small HTTP server for stand-ins: one thread for each connection, on a loopback address.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Tcp = boost::asio::ip::tcp;

inline Response Reply(unsigned status, std::string body, const char* type = "application/json") {
  Response response;
  response.version(11);
  response.result(status);
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

// Serves one address. Close refuses new connections and ends the open ones, like the end of the
// process that served it.
class Server {
 public:
  // Returns no response where the request gets no answer.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) { Open(); }
  ~Server() {
    Close();
    while (threads_ > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  void Open() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_port = htons(port_);
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 ||
        ::listen(fd, 256) != 0) {
      ::close(fd);
      throw std::runtime_error("cannot listen on a loopback address");
    }
    socklen_t size = sizeof addr;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&addr), &size);
    port_ = ntohs(addr.sin_port);
    is_open_ = true;
    ++threads_;
    std::thread([this, fd] { Accept(fd); }).detach();
  }

  void Close() {
    const std::lock_guard lock(mutex_);
    is_open_ = false;
    for (const int it : connections_) {
      ::shutdown(it, SHUT_RDWR);
    }
  }

 private:
  void Accept(int fd) {
    while (is_open_) {
      pollfd waiting{fd, POLLIN, 0};
      if (::poll(&waiting, 1, 5) <= 0) {
        continue;
      }
      const int connection = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection >= 0) {
        ++threads_;
        std::thread([this, connection] { Serve(connection); }).detach();
      }
    }
    ::close(fd);
    --threads_;
  }

  void Serve(int connection) {
    {
      const std::lock_guard lock(mutex_);
      connections_.insert(connection);
      if (!is_open_) {
        ::shutdown(connection, SHUT_RDWR);
      }
    }
    try {
      boost::asio::io_context context;
      Tcp::socket socket(context, Tcp::v4(), ::dup(connection));
      socket.set_option(Tcp::no_delay(true));
      boost::beast::flat_buffer buf;
      bool is_kept = true;
      while (is_kept) {
        Request request;
        http::read(socket, buf, request);
        auto response = handler_(request);
        if (!response || !is_open_) {
          break;
        }
        response->keep_alive(request.keep_alive());
        is_kept = request.keep_alive();
        http::write(socket, *response);
      }
    } catch (const std::exception&) {
      // The connection has ended.
    }
    {
      const std::lock_guard lock(mutex_);
      connections_.erase(connection);
      ::shutdown(connection, SHUT_RDWR);
      ::close(connection);
    }
    --threads_;
  }

  const Handler handler_;
  std::uint16_t port_ = 0;
  std::atomic<bool> is_open_{false};
  std::atomic<int> threads_{0};
  std::mutex mutex_;
  std::set<int> connections_;
};

// Sends one request on a connection of its own. No response: the connection failed or the time is
// over.
inline std::optional<Response> Call(const std::string& address, const Request& request,
                                    std::chrono::milliseconds timeout) {
  try {
    const auto colon = address.rfind(':');
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    const Tcp::endpoint endpoint(boost::asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    std::optional<Response> answer;
    boost::beast::flat_buffer buf;
    Response response;
    stream.expires_after(timeout);
    stream.async_connect(endpoint, [&](boost::system::error_code ec) {
      if (ec) {
        return;
      }
      http::async_write(stream, request, [&](boost::system::error_code write_ec, std::size_t) {
        if (write_ec) {
          return;
        }
        http::async_read(stream, buf, response,
                         [&](boost::system::error_code read_ec, std::size_t) {
                           if (!read_ec) {
                             answer = std::move(response);
                           }
                         });
      });
    });
    context.run();
    return answer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace review
