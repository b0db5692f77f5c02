#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace clementineloom::fakes {

/// @brief Counts how often each request id ran.
///
/// Thread safety: every member may be called from any thread.
class RequestLedger {
 public:
  void Record(const std::string& request_id) {
    const std::scoped_lock lock(mutex_);
    ++runs_[request_id];
  }

  /// @brief Runs of all request ids.
  [[nodiscard]] std::map<std::string, std::uint64_t> runs() const {
    const std::scoped_lock lock(mutex_);
    return runs_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> runs_;
};

}  // namespace clementineloom::fakes
