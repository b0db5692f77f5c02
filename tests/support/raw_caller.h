#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <string>

namespace clementineloom::testing_support {

/// @brief A connection to a server of this machine that sends any bytes and reads to the end.
class RawCaller {
 public:
  explicit RawCaller(std::uint16_t port) {
    const auto loopback = boost::asio::ip::address_v4::loopback();
    socket_.connect({loopback, port});
  }

  void Send(const std::string& bytes) {
    boost::system::error_code ec;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ec);
  }

  /// @brief Everything that the server sends until it closes the connection.
  std::string ReadAll() {
    std::string text;
    boost::system::error_code ec;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(text), ec);
    return text;
  }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_{context_};
};

}  // namespace clementineloom::testing_support
