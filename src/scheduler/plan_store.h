#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "clementineloom/decision/plan.h"

namespace clementineloom::scheduler {

/// @brief The latest plans that operators may confirm. The oldest one is evicted first.
///
/// Thread safety: none; the decision duty owns it.
class PlanStore {
 public:
  struct Entry {
    Plan plan;
    std::string author;
  };

  /// @return the id of the plan
  std::string Add(Plan plan, std::string author) {
    if (plans_.size() == kMaxPlans) {
      plans_.erase(plans_.begin());
    }
    const std::uint64_t id = ++last_;
    plans_.emplace(id, Entry{std::move(plan), std::move(author)});
    return std::to_string(id);
  }

  /// @brief The plan of an id, or nullptr if it is unknown or was evicted.
  [[nodiscard]] const Entry* Find(const std::string& id) const {
    for (const auto& [number, entry] : plans_) {
      if (std::to_string(number) == id) {
        return &entry;
      }
    }
    return nullptr;
  }

 private:
  // An operator confirms within minutes; a plan of the largest cluster takes some megabytes.
  static constexpr std::size_t kMaxPlans = 16;

  std::map<std::uint64_t, Entry> plans_;
  std::uint64_t last_ = 0;
};

}  // namespace clementineloom::scheduler
