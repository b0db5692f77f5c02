#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <iterator>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace clementineloom::net::detail {

/// @brief Idle connections of each address, limited for each address and in total. The one that has
/// been idle longest is closed first.
/// Thread safety: none.
template <class Connection>
class IdleConnections {
 public:
  using Clock = std::chrono::steady_clock;
  using Pointer = std::unique_ptr<Connection>;

  /// Precondition: the limits are above zero.
  IdleConnections(std::size_t max_per_address, std::size_t max_total)
      : max_per_address_(max_per_address), max_total_(max_total) {}

  [[nodiscard]] bool empty() const { return all_.empty(); }
  [[nodiscard]] std::size_t size() const { return all_.size(); }

  /// @brief Adds a connection that has become idle, and closes others that exceed a limit.
  /// @param now not before that of any earlier call
  void Add(const std::string& address, Pointer connection, Clock::time_point now) {
    if (all_.size() >= max_total_) {
      CloseOldest(1);
    }
    const auto known = by_address_.find(address);
    if (known != by_address_.end() && known->second.size() >= max_per_address_) {
      Remove(known->second.front());
    }
    all_.push_back({address, std::move(connection), now});
    by_address_[address].push_back(std::prev(all_.end()));
  }

  /// @brief Removes and returns the newest connection of an address, or null if none has been idle
  /// since then or later.
  Pointer TakeNewest(const std::string& address, Clock::time_point since) {
    const auto known = by_address_.find(address);
    if (known == by_address_.end() || known->second.back()->idle_since < since) {
      return nullptr;
    }
    const Position newest = known->second.back();
    Pointer connection = std::move(newest->connection);
    known->second.pop_back();
    if (known->second.empty()) {
      by_address_.erase(known);
    }
    all_.erase(newest);
    return connection;
  }

  /// @brief Closes all connections of an address.
  void Close(const std::string& address) {
    while (by_address_.contains(address)) {
      Remove(by_address_[address].front());
    }
  }

  /// @brief Closes the connections that became idle before a time.
  void CloseOlderThan(Clock::time_point oldest) {
    while (!all_.empty() && all_.front().idle_since < oldest) {
      Remove(all_.begin());
    }
  }

  /// @brief Closes up to the given number of connections, those first that have been idle longest.
  void CloseOldest(std::size_t count) {
    for (; count > 0 && !all_.empty(); --count) {
      Remove(all_.begin());
    }
  }

 private:
  struct Idle {
    std::string address;
    Pointer connection;
    Clock::time_point idle_since;
  };
  using Position = typename std::list<Idle>::iterator;

  // Precondition: the connection is the oldest of its address.
  void Remove(Position it) {
    const auto known = by_address_.find(it->address);
    known->second.pop_front();
    if (known->second.empty()) {
      by_address_.erase(known);
    }
    all_.erase(it);
  }

  const std::size_t max_per_address_;
  const std::size_t max_total_;
  // All connections, the one that has been idle longest first.
  std::list<Idle> all_;
  // Those of each address in the same order.
  std::unordered_map<std::string, std::deque<Position>> by_address_;
};

}  // namespace clementineloom::net::detail
