#pragma once

#include <optional>
#include <set>
#include <string>

#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/workload_config.h"

namespace clementineloom::entry {

/// @brief This instance's view of the items published by operators: the configuration and the
/// evacuated data centres. Thread safety: none; use from one thread.
class OperatorView {
 public:
  /// @brief Puts a configuration in force unless the current one has the same or a newer version.
  /// @return whether it is now in force
  bool Offer(workload::WorkloadConfig config) {
    if (config_ && config.version <= config_->version) {
      return false;
    }
    for (const workload::Queue& it : config.queues) {
      named_services_.insert(it.service);
    }
    config_ = std::move(config);
    return true;
  }

  void Evacuate(const std::string& data_centre) { evacuated_.insert(data_centre); }
  void Restore(const std::string& data_centre) { evacuated_.erase(data_centre); }
  void RestoreAll() { evacuated_.clear(); }

  /// @brief Records that the view contains everything published before the given time.
  void NoteComplete(workload::SteadyTime until) { complete_until_ = until; }

  /// @brief Whether the view is recent enough for starts: an older one may lack an evacuation.
  [[nodiscard]] bool IsCurrent(workload::SteadyTime now) const {
    return complete_until_ && now - *complete_until_ <= kMaxAge;
  }

  [[nodiscard]] const std::optional<workload::WorkloadConfig>& config() const { return config_; }
  /// @brief Whether the configuration in force, or an earlier one, names a service.
  [[nodiscard]] bool HasNamed(const std::string& service) const {
    return named_services_.contains(service);
  }
  [[nodiscard]] const std::set<std::string>& evacuated() const { return evacuated_; }

 private:
  // Longer than two long polls of the store, and shorter than the time within which an evacuation
  // must take effect.
  static constexpr workload::Milliseconds kMaxAge{3'000};

  std::optional<workload::WorkloadConfig> config_;
  std::set<std::string> named_services_;
  std::set<std::string> evacuated_;
  std::optional<workload::SteadyTime> complete_until_;
};

}  // namespace clementineloom::entry
