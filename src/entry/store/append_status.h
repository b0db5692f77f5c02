#pragma once

#include <cstdint>

namespace clementineloom::entry {

/// @brief Outcome of an append.
enum class AppendStatus : std::uint8_t {
  kAppended,
  /// A writer with a higher epoch took over.
  kFenced,
  /// The sequence number does not follow the last one that the store accepted.
  kOutOfSequence,
  /// The topic does not end at the expected offset.
  kConflict,
  /// The store refused the append and did nothing.
  kRefused,
  /// No answer; the append may have been carried out, or may still be.
  kUnknown,
};

}  // namespace clementineloom::entry
