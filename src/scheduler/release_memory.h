#pragma once

namespace clementineloom::scheduler {

/// @brief Returns free memory of the allocator to the operating system.
///
/// Called after a snapshot was written or read: its text is several times as large as the state,
/// and the allocator would otherwise keep that memory until the process ends.
/// Complexity: milliseconds. Thread safety: any thread.
void ReleaseFreeMemory();

}  // namespace clementineloom::scheduler
