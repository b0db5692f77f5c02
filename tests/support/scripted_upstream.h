#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/concurrency/duty_thread.h"

namespace clementineloom::testing_support {

/// @brief An upstream that accepts connections one at a time, reads one request from each and
/// answers with the bytes that a script returns; an empty answer leaves it open and silent.
class ScriptedUpstream {
 public:
  /// @param script callable with the number of the connection, from 0, and the request's head
  using Script = std::function<std::string(int, const std::string&)>;

  explicit ScriptedUpstream(Script script) : script_(std::move(script)) {}

  ~ScriptedUpstream() {
    stopped_ = true;
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket wake(context);
    boost::system::error_code ec;
    wake.connect(acceptor_.local_endpoint(), ec);
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /// @brief Number of connections from which a request was read.
  [[nodiscard]] int requests() const { return requests_; }

 private:
  using Tcp = boost::asio::ip::tcp;

  void Run() {
    while (true) {
      Tcp::socket socket(context_);
      boost::system::error_code ec;
      acceptor_.accept(socket, ec);
      if (stopped_) {
        return;
      }
      Serve(std::move(socket));
    }
  }

  void Serve(Tcp::socket socket) {
    boost::system::error_code ec;
    std::string head;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", ec);
    const std::string answer = script_(requests_++, head);
    if (answer.empty()) {
      unanswered_.push_back(std::move(socket));
    } else {
      boost::asio::write(socket, boost::asio::buffer(answer), ec);
    }
  }

  Script script_;
  boost::asio::io_context context_;
  Tcp::acceptor acceptor_{context_, {boost::asio::ip::address_v4::loopback(), 0}};
  std::vector<Tcp::socket> unanswered_;
  std::atomic<int> requests_{0};
  std::atomic<bool> stopped_{false};
  // Last, so that the thread is joined before anything that it uses is destroyed.
  DutyThread thread_{"upstream", [this] { Run(); }};
};

}  // namespace clementineloom::testing_support
