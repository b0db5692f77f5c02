#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/routing/monotonic_time.h"
#include "clementineloom/routing/request_priority.h"

namespace clementineloom {

/// @brief Bounded queue of requests that wait for a slot: fair between teams, by priority within a
/// team.
///
/// Priority counts only within a team, because otherwise a large team that marks all of its
/// requests as high would starve a small one. When the queue is full, the newest request of the
/// lowest priority of the team with the most waiting requests is shed.
///
/// Complexity: linear in the teams that wait, except where noted. Thread safety: none.
template <class Item>
class FairRequestQueue {
 public:
  /// Precondition: capacity > 0.
  explicit FairRequestQueue(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Adds an item. @return the item that was shed to make room, which may be the new one.
  std::optional<Item> Add(const std::string& team, RequestPriority priority, MonotonicTime deadline,
                          Item item) {
    Queue& queue = teams_[team];
    auto position =
        std::ranges::find_if(queue, [&](const Entry& it) { return it.priority < priority; });
    queue.insert(position, Entry{priority, deadline, next_number_++, std::move(item)});
    ++size_;
    return size_ > capacity_ ? std::optional(Shed()) : std::nullopt;
  }

  /// @brief Takes the next item of the eligible team with the lowest load; of equal ones, the one
  /// whose item was added first.
  /// @param is_eligible whether a team may start a request
  /// @param load of a team, for example its requests in progress
  template <class Eligible, class Load>
  [[nodiscard]] std::optional<Item> TakeNext(Eligible&& is_eligible, Load&& load) {
    auto best = teams_.end();
    std::pair<std::uint64_t, std::uint64_t> best_rank;
    for (auto it = teams_.begin(); it != teams_.end(); ++it) {
      const std::pair<std::uint64_t, std::uint64_t> rank(load(it->first),
                                                         it->second.front().number);
      if (is_eligible(it->first) && (best == teams_.end() || rank < best_rank)) {
        best = it;
        best_rank = rank;
      }
    }
    if (best == teams_.end()) {
      return std::nullopt;
    }
    return Take(best, best->second.begin());
  }

  /// @brief Takes all items whose deadline has passed. Complexity: linear in the items.
  [[nodiscard]] std::vector<Item> TakeExpired(MonotonicTime now) {
    std::vector<Item> expired;
    for (auto it = teams_.begin(); it != teams_.end();) {
      const auto is_kept = [now](const Entry& entry) { return entry.deadline > now; };
      const auto tail = std::stable_partition(it->second.begin(), it->second.end(), is_kept);
      for (auto entry = tail; entry != it->second.end(); ++entry) {
        expired.push_back(std::move(entry->item));
      }
      it->second.erase(tail, it->second.end());
      it = it->second.empty() ? teams_.erase(it) : std::next(it);
    }
    size_ -= expired.size();
    return expired;
  }

  /// @brief The earliest deadline of all items, if there are any. Complexity: linear in the items.
  [[nodiscard]] std::optional<MonotonicTime> next_deadline() const {
    std::optional<MonotonicTime> earliest;
    for (const auto& [team, queue] : teams_) {
      for (const Entry& it : queue) {
        earliest = earliest ? std::min(*earliest, it.deadline) : it.deadline;
      }
    }
    return earliest;
  }

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }

 private:
  struct Entry {
    RequestPriority priority;
    MonotonicTime deadline;
    std::uint64_t number;
    Item item;
  };
  // Highest priority first, then oldest first.
  using Queue = std::deque<Entry>;
  using Teams = std::map<std::string, Queue>;

  Item Shed() {
    const auto by_size = [](const auto& a, const auto& b) {
      return a.second.size() < b.second.size();
    };
    const auto largest = std::max_element(teams_.begin(), teams_.end(), by_size);
    return Take(largest, std::prev(largest->second.end()));
  }

  Item Take(typename Teams::iterator team, typename Queue::iterator entry) {
    Item item = std::move(entry->item);
    team->second.erase(entry);
    if (team->second.empty()) {
      teams_.erase(team);
    }
    --size_;
    return item;
  }

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::uint64_t next_number_ = 0;
  Teams teams_;
};

}  // namespace clementineloom
