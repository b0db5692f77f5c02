#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace clementineloom {

/// @brief Counts the requests in progress of each team. Thread safety: none, one thread owns it.
class TeamLoads {
 public:
  [[nodiscard]] std::uint32_t At(const std::string& team) const {
    const auto it = counts_.find(team);
    return it == counts_.end() ? 0 : it->second;
  }

  void Add(const std::string& team) { ++counts_[team]; }

  /// Precondition: an Add for the team has not been removed yet.
  void Remove(const std::string& team) {
    const auto it = counts_.find(team);
    if (--it->second == 0) {
      counts_.erase(it);
    }
  }

 private:
  std::unordered_map<std::string, std::uint32_t> counts_;
};

}  // namespace clementineloom
