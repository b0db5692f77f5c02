#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "platform/read_batch.h"

namespace clementineloom::fakes {

/// @brief The records of one stream in memory; offsets start at 1 and count records.
///
/// Thread safety: none.
class StreamStore {
 public:
  /// @return the offset of the first payload, or of the next record if there is none
  LogOffset Append(const std::vector<std::string>& payloads);

  /// Precondition: from is at least oldest().
  [[nodiscard]] platform::ReadBatch Read(LogOffset from, std::size_t limit) const;

  /// @brief Deletes all records below an offset.
  void ExpireBelow(LogOffset offset);

  [[nodiscard]] LogOffset oldest() const { return LogOffset(oldest_); }
  [[nodiscard]] LogOffset tail() const { return LogOffset(oldest_ + payloads_.size() - 1); }

 private:
  std::deque<std::string> payloads_;
  std::uint64_t oldest_ = 1;
};

}  // namespace clementineloom::fakes
