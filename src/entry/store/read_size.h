#pragma once

#include <algorithm>
#include <cstdint>

namespace clementineloom::entry {

/// @brief Size limit of the reads of a TopicFollower, which follows what the store sends in time.
///
/// All instances read the same records and share the store's bandwidth. A read that times out is
/// sent in full all the same, so that retries of large reads can use all of the bandwidth without
/// any of them being answered in time.
/// Thread safety: none; use from one thread.
class ReadSize {
 public:
  /// Small enough that hundreds of such reads at once are answered before they time out.
  static constexpr std::uint32_t kUsualKilobytes = 128;
  static constexpr std::uint32_t kMinKilobytes = 16;
  /// Enough for the largest record.
  static constexpr std::uint32_t kMaxKilobytes = 1'024;

  [[nodiscard]] std::uint32_t kilobytes() const { return kilobytes_; }

  /// @brief Notes an answer with records.
  void OnRecords() { kilobytes_ = std::min(2 * kilobytes_, kUsualKilobytes); }

  /// @brief Notes an answer without records, although the topic has more: the next one is larger
  /// than the limit.
  void OnRecordTooLarge() { kilobytes_ = std::min(2 * kilobytes_, kMaxKilobytes); }

  /// @brief Notes a read that was not answered.
  void OnTimeout() { kilobytes_ = std::max(kilobytes_ / 2, kMinKilobytes); }

 private:
  std::uint32_t kilobytes_ = kUsualKilobytes;
};

}  // namespace clementineloom::entry
