#pragma once

#include <optional>
#include <set>
#include <string>

#include "clementineloom/workload/workload_config.h"

namespace clementineloom::entry {

/// @brief What operators published, as this instance knows it. Thread safety: none; use from one
/// thread.
class OperatorView {
 public:
  /// @brief Takes a configuration unless a newer one is in force. @return whether it was taken.
  bool Offer(workload::WorkloadConfig config) {
    if (config_ && config.version <= config_->version) {
      return false;
    }
    config_ = std::move(config);
    return true;
  }

  void Evacuate(const std::string& data_centre) { evacuated_.insert(data_centre); }
  void Restore(const std::string& data_centre) { evacuated_.erase(data_centre); }
  void RestoreAll() { evacuated_.clear(); }

  [[nodiscard]] const std::optional<workload::WorkloadConfig>& config() const { return config_; }
  [[nodiscard]] const std::set<std::string>& evacuated() const { return evacuated_; }

 private:
  std::optional<workload::WorkloadConfig> config_;
  std::set<std::string> evacuated_;
};

}  // namespace clementineloom::entry
