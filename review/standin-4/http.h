// A small HTTP/1.1 server and client on loopback addresses, for the stand-ins of this review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Path() const { return target.substr(0, target.find('?')); }
  std::string Query(const std::string& name) const {
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto end = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.compare(0, name.size() + 1, name + "=") == 0) {
        return Unescaped(part.substr(name.size() + 1));
      }
      at = end;
    }
    return "";
  }
  static std::string Unescaped(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
};

struct Response {
  int status = 200;
  std::string body;
  std::string type = "application/json";
};

inline bool SendAll(int fd, const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const auto n = ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads one message. Returns false if the connection ends before it is complete.
inline bool ReadMessage(int fd, std::string& buf, std::string& first_line,
                        std::map<std::string, std::string>& headers, std::string& body,
                        int timeout_ms) {
  const auto more = [&] {
    pollfd p{fd, POLLIN, 0};
    if (::poll(&p, 1, timeout_ms) <= 0) {
      return false;
    }
    char chunk[65536];
    const auto n = ::recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) {
      return false;
    }
    buf.append(chunk, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end;
  while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  headers.clear();
  std::size_t at = buf.find("\r\n");
  first_line = buf.substr(0, at);
  while (at < end) {
    const std::size_t next = buf.find("\r\n", at + 2);
    const std::string line = buf.substr(at + 2, next - at - 2);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      for (char& it : name) {
        it = static_cast<char>(std::tolower(it));
      }
      const auto value = line.find_first_not_of(' ', colon + 1);
      headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    at = next;
  }
  std::size_t length = 0;
  if (headers.count("content-length") > 0) {
    length = std::stoul(headers["content-length"]);
  }
  while (buf.size() < end + 4 + length) {
    if (!more()) {
      return false;
    }
  }
  body = buf.substr(end + 4, length);
  buf.erase(0, end + 4 + length);
  return true;
}

// A server with a thread for each connection. A handler that returns nothing leaves the request
// without an answer; its connection answers nothing further.
class Server {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {}
  ~Server() { Stop(); }

  // Port 0 takes a free port; a later start takes the same one again.
  void Start() {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port_);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd_, 512) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    is_running_ = true;
    acceptor_ = std::thread([this] { Accept(); });
  }

  // Closes the listening socket and resets all connections.
  void Stop() {
    if (!is_running_.exchange(false)) {
      return;
    }
    ::shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    ::close(fd_);
    {
      const std::lock_guard lock(mutex_);
      for (const int it : open_) {
        const linger reset{1, 0};
        ::setsockopt(it, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(it, SHUT_RDWR);
      }
    }
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        if (open_.empty()) {
          return;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  bool IsRunning() const { return is_running_; }

 private:
  void Accept() {
    while (is_running_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!is_running_) {
          return;
        }
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      open_.push_back(fd);
      std::thread([this, fd] {
        Serve(fd);
        const std::lock_guard lock(mutex_);
        open_.remove(fd);
        ::close(fd);
      }).detach();
    }
  }

  void Serve(int fd) {
    std::string buf;
    std::string line;
    Request request;
    while (ReadMessage(fd, buf, line, request.headers, request.body, -1)) {
      const auto space = line.find(' ');
      request.method = line.substr(0, space);
      request.target = line.substr(space + 1, line.rfind(' ') - space - 1);
      const auto response = handler_(request);
      if (!response) {
        char byte;
        while (::recv(fd, &byte, 1, 0) > 0) {
        }
        return;
      }
      const std::string text = "HTTP/1.1 " + std::to_string(response->status) +
                               " X\r\nContent-Type: " + response->type +
                               "\r\nContent-Length: " + std::to_string(response->body.size()) +
                               "\r\n\r\n" + response->body;
      if (!SendAll(fd, text)) {
        return;
      }
    }
  }

  const Handler handler_;
  std::uint16_t port_ = 0;
  int fd_ = -1;
  std::atomic<bool> is_running_{false};
  std::thread acceptor_;
  std::mutex mutex_;
  std::list<int> open_;
};

// One call on a connection of its own. Nothing without a complete answer.
inline std::optional<Response> Call(const std::string& address, const std::string& method,
                                    const std::string& target,
                                    const std::vector<std::pair<std::string, std::string>>& headers,
                                    const std::string& body, int timeout_ms) {
  const auto colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::optional<Response> result;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buf;
    std::string line;
    std::map<std::string, std::string> answer_headers;
    std::string answer;
    if (SendAll(fd, text) && ReadMessage(fd, buf, line, answer_headers, answer, timeout_ms)) {
      result = Response{std::stoi(line.substr(line.find(' ') + 1)), answer, ""};
    }
  }
  ::close(fd);
  return result;
}

}  // namespace review
