#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom::entry {

/// @brief What an owner knows of a worker from its last calls and from its entry.
enum class WorkerContact : std::uint8_t {
  kAnswering,
  /// It does not answer, and may be at work.
  kSilent,
  /// Its entry is removed, and no process serves its address.
  kGone,
};

/// @brief The name of a contact in the log.
/// Thread safety: may be called from any thread.
[[nodiscard]] constexpr std::string_view WorkerContactName(WorkerContact contact) {
  switch (contact) {
    case WorkerContact::kAnswering:
      return "answering";
    case WorkerContact::kSilent:
      return "silent";
    case WorkerContact::kGone:
      return "gone";
  }
  return {};
}

}  // namespace clementineloom::entry
