#pragma once

#include <chrono>
#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "clementineloom/errors/result.h"
#include "platform/log_client.h"

namespace clementineloom::testing_support {

/// @brief A LogClient that keeps one stream in memory and injects faults of the log service.
///
/// Thread safety: none.
class MemoryLog {
 public:
  enum class Fault { kNone, kRefused, kAnswerLost, kRequestLost };

  /// @brief Sets the fault of all later appends.
  void SetAppendFault(Fault fault) { append_fault_ = fault; }
  void SetReadFault(bool is_down) { is_read_down_ = is_down; }
  /// @brief Refuses reads with a larger limit, like a client whose answer would be too large.
  void SetMaxRead(std::size_t records) { max_read_ = records; }
  /// @brief Expires all records below an offset.
  void ExpireBelow(std::uint64_t offset) { oldest_ = offset; }
  void Add(std::string payload) { payloads_.push_back(std::move(payload)); }

  [[nodiscard]] const std::vector<std::string>& payloads() const { return payloads_; }
  [[nodiscard]] std::size_t appends() const { return appends_; }

  [[nodiscard]] Result<LogOffset> Append(std::string_view /*stream*/,
                                         const std::vector<std::string>& payloads) {
    ++appends_;
    if (append_fault_ == Fault::kRefused) {
      return Refuse(ResultCode::kLogUnavailable, "refused");
    }
    const LogOffset first(payloads_.size() + 1);
    if (append_fault_ != Fault::kRequestLost) {
      payloads_.insert(payloads_.end(), payloads.begin(), payloads.end());
    }
    if (append_fault_ != Fault::kNone) {
      return Refuse(ResultCode::kAppendUnknown, "no answer", RunState::kMayHaveRun);
    }
    return first;
  }

  [[nodiscard]] Result<platform::ReadBatch> Read(std::string_view /*stream*/, LogOffset from,
                                                 std::size_t limit,
                                                 std::chrono::milliseconds /*wait*/) {
    if (is_read_down_) {
      return Refuse(ResultCode::kLogUnavailable, "down");
    }
    if (from.value() < oldest_) {
      return Refuse(ResultCode::kRecordsExpired, "from");
    }
    if (limit > max_read_ && from.value() <= payloads_.size()) {
      return Refuse(ResultCode::kLogUnavailable, "answer too large");
    }
    platform::ReadBatch batch{{}, LogOffset(payloads_.size()), LogOffset(oldest_)};
    for (std::size_t n = from.value(); n <= payloads_.size() && batch.records.size() < limit; ++n) {
      batch.records.push_back({LogOffset(n), payloads_[n - 1]});
    }
    return batch;
  }

 private:
  std::vector<std::string> payloads_;
  std::uint64_t oldest_ = 1;
  std::size_t appends_ = 0;
  std::size_t max_read_ = std::numeric_limits<std::size_t>::max();
  Fault append_fault_ = Fault::kNone;
  bool is_read_down_ = false;
};

static_assert(platform::LogClient<MemoryLog>);

}  // namespace clementineloom::testing_support
