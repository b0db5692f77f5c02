#pragma once

#include <optional>
#include <set>
#include <string>

#include "clementineloom/workload/steady_time.h"
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

  /// @brief Notes that the view holds all that was published before a moment.
  void NoteComplete(workload::SteadyTime until) { complete_until_ = until; }

  /// @brief Whether the view is new enough for a start: an older one may lack an evacuation.
  [[nodiscard]] bool IsCurrent(workload::SteadyTime now) const {
    return complete_until_ && now - *complete_until_ <= kMaxAge;
  }

  [[nodiscard]] const std::optional<workload::WorkloadConfig>& config() const { return config_; }
  [[nodiscard]] const std::set<std::string>& evacuated() const { return evacuated_; }

 private:
  // Longer than two waits for an item at the store, and shorter than the time in which an
  // evacuation has to be in force.
  static constexpr workload::Milliseconds kMaxAge{3'000};

  std::optional<workload::WorkloadConfig> config_;
  std::set<std::string> evacuated_;
  std::optional<workload::SteadyTime> complete_until_;
};

}  // namespace clementineloom::entry
