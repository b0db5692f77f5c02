#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <functional>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"

namespace clementineloom::net {

/// @brief A bounded ring whose consumer runs on an I/O context.
///
/// Thread safety: TryPush may be called from any thread, Push from any but the context's own, which
/// would wait for itself. The consumer is called on the context's thread.
template <class T>
class IoRing {
 public:
  IoRing(boost::asio::io_context& context, std::size_t capacity, std::function<void(T)> consumer)
      : context_(context), ring_(capacity), consumer_(std::move(consumer)) {}

  /// @return false if the ring is full.
  [[nodiscard]] bool TryPush(T value) {
    if (!ring_.TryPush(std::move(value))) {
      return false;
    }
    ScheduleDrain();
    return true;
  }

  /// @brief Adds a value, waiting while the ring is full. @return false if closed.
  [[nodiscard]] bool Push(T value) {
    if (!ring_.Push(std::move(value))) {
      return false;
    }
    ScheduleDrain();
    return true;
  }

  void Close() { ring_.Close(); }

 private:
  void ScheduleDrain() {
    if (!is_scheduled_.exchange(true)) {
      boost::asio::post(context_, [this] { Drain(); });
    }
  }

  void Drain() {
    // Cleared first: a value pushed after the last TryPop below schedules another drain.
    is_scheduled_.store(false);
    while (auto value = ring_.TryPop()) {
      consumer_(std::move(*value));
    }
  }

  boost::asio::io_context& context_;
  BoundedRing<T> ring_;
  std::function<void(T)> consumer_;
  std::atomic<bool> is_scheduled_{false};
};

}  // namespace clementineloom::net
