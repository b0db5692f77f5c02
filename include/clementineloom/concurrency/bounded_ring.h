#pragma once

#include <cassert>
#include <chrono>
#include <concepts>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace clementineloom {

/// @brief A fixed-capacity queue that joins two duties.
///
/// Thread safety: every member may be called from any thread. No member spins: waiting uses a
/// mutex and a condition variable, because libstdc++'s atomic wait spins before it sleeps.
/// @code
/// BoundedRing<int> ring(2);
/// ring.TryPush(7);
/// int n = *ring.Pop();
/// @endcode
template <class T>
class BoundedRing {
 public:
  /// @brief Creates an empty ring. Precondition: capacity > 0.
  explicit BoundedRing(std::size_t capacity) : slots_(capacity) { assert(capacity > 0); }

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /// @brief Adds a value unless the ring is full or closed.
  /// @return false if the value was not queued; the caller counts this as a refusal.
  [[nodiscard]] bool TryPush(T value) {
    return TryPush(std::move(value), [](T&&) {});
  }

  /// @brief Adds a value unless the ring is full or closed; a refused value goes to a callable.
  /// @param on_refused is called under the ring's lock, so that what it records is visible to the
  /// thread that later takes the values of the full ring; precondition: it does not use the ring
  /// @return false if the value was not queued.
  template <std::invocable<T&&> OnRefused>
  [[nodiscard]] bool TryPush(T value, OnRefused on_refused) {
    {
      const std::scoped_lock lock(mutex_);
      if (closed_ || size_ == slots_.size()) {
        on_refused(std::move(value));
        return false;
      }
      Store(std::move(value));
    }
    not_empty_.notify_one();
    return true;
  }

  /// @brief Adds a value, waiting while the ring is full.
  /// @return false if the ring was closed.
  [[nodiscard]] bool Push(T value) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock, [this] { return closed_ || size_ < slots_.size(); });
      if (closed_) {
        return false;
      }
      Store(std::move(value));
    }
    not_empty_.notify_one();
    return true;
  }

  /// @brief Takes the oldest value, waiting while the ring is empty.
  /// @return nothing once the ring is closed and drained.
  [[nodiscard]] std::optional<T> Pop() {
    std::unique_lock lock(mutex_);
    not_empty_.wait(lock, [this] { return closed_ || size_ > 0; });
    return Take(lock);
  }

  /// @brief Takes the oldest value, waiting at most for the given time.
  /// @return nothing on timeout, or once the ring is closed and drained.
  template <class Rep, class Period>
  [[nodiscard]] std::optional<T> PopFor(std::chrono::duration<Rep, Period> timeout) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_for(lock, timeout, [this] { return closed_ || size_ > 0; });
    return Take(lock);
  }

  /// @brief Takes the oldest value if there is one.
  [[nodiscard]] std::optional<T> TryPop() {
    std::unique_lock lock(mutex_);
    return Take(lock);
  }

  /// @brief Refuses further values and wakes all waiting threads. Queued values can still be
  /// popped.
  void Close() {
    {
      const std::scoped_lock lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  [[nodiscard]] bool closed() const {
    const std::scoped_lock lock(mutex_);
    return closed_;
  }

  [[nodiscard]] std::size_t size() const {
    const std::scoped_lock lock(mutex_);
    return size_;
  }

  [[nodiscard]] std::size_t capacity() const { return slots_.size(); }

 private:
  void Store(T value) {
    slots_[(head_ + size_) % slots_.size()].emplace(std::move(value));
    ++size_;
  }

  std::optional<T> Take(std::unique_lock<std::mutex>& lock) {
    if (size_ == 0) {
      return std::nullopt;
    }
    std::optional<T> value(std::move(*slots_[head_]));
    slots_[head_].reset();
    head_ = (head_ + 1) % slots_.size();
    --size_;
    lock.unlock();
    not_full_.notify_one();
    return value;
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::vector<std::optional<T>> slots_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace clementineloom
