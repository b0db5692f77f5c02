#pragma once

#include <cstdint>

namespace clementineloom::entry {

/// @brief What became of an append.
enum class AppendStatus : std::uint8_t {
  kAppended,
  /// A writer with a higher epoch took over.
  kFenced,
  /// The number does not follow the last one that the store took.
  kOutOfSequence,
  /// The topic does not end where it was expected to.
  kConflict,
  /// The store did nothing.
  kRefused,
  /// No answer; the append may have been or may still be carried out.
  kUnknown,
};

}  // namespace clementineloom::entry
