#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/routing/listed_worker.h"

namespace clementineloom {

/// @brief The part of one version of the instance list that routing needs. An immutable value.
class ListedWorkers {
 public:
  /// @param live workers that are listed as live
  /// @param entry_instances number of entry instances listed, each with a gateway
  ListedWorkers(std::uint64_t version, std::vector<ListedWorker> live,
                std::uint32_t entry_instances)
      : version_(version), live_(std::move(live)), entry_instances_(entry_instances) {
    std::ranges::sort(live_);
  }

  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] std::uint32_t entry_instances() const { return entry_instances_; }

  /// @brief Whether the worker is listed as live under this address; an instance that replaced
  /// another under the same name has another address. Complexity: logarithmic.
  [[nodiscard]] bool IsLive(const std::string& name, const std::string& address) const {
    return std::ranges::binary_search(live_, ListedWorker{name, address});
  }

  friend auto operator<=>(const ListedWorkers&, const ListedWorkers&) = default;

 private:
  std::uint64_t version_;
  std::vector<ListedWorker> live_;
  std::uint32_t entry_instances_;
};

}  // namespace clementineloom
