#pragma once

#include <algorithm>
#include <cstdint>

namespace clementineloom::entry {

/// @brief Size limit of the reads of a TopicFollower: halved after a read without an answer,
/// doubled after an answer with records.
///
/// All instances read the same records and share the store's bandwidth. A read that times out is
/// sent in full all the same, so that retries of large reads can use all of the bandwidth without
/// any of them being answered in time.
/// Thread safety: none; use from one thread.
class ReadSize {
 public:
  /// @param usual_kilobytes between the smallest and the largest size
  explicit ReadSize(std::uint32_t usual_kilobytes)
      : usual_kilobytes_(usual_kilobytes), kilobytes_(usual_kilobytes) {}

  static constexpr std::uint32_t kMinKilobytes = 16;
  /// Enough for the largest record.
  static constexpr std::uint32_t kMaxKilobytes = 1'024;

  [[nodiscard]] std::uint32_t kilobytes() const { return kilobytes_; }
  [[nodiscard]] bool is_largest() const { return kilobytes_ >= kMaxKilobytes; }

  /// @brief Notes an answer with records.
  void OnRecords() { kilobytes_ = std::min(2 * kilobytes_, usual_kilobytes_); }

  /// @brief Notes an answer without records, although the topic has more: the next one is larger
  /// than the limit.
  void OnRecordTooLarge() { kilobytes_ = std::min(2 * kilobytes_, kMaxKilobytes); }

  /// @brief Notes a read that was not answered.
  void OnNoAnswer() { kilobytes_ = std::max(kilobytes_ / 2, kMinKilobytes); }

 private:
  const std::uint32_t usual_kilobytes_;
  std::uint32_t kilobytes_;
};

}  // namespace clementineloom::entry
