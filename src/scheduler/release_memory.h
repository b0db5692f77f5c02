#pragma once

namespace clementineloom::scheduler {

/// @brief Gives memory that is free in the allocator back to the system.
///
/// Called after a snapshot was written or read: its text is several times as large as the state,
/// and the allocator would keep that memory for the life of the process.
/// Complexity: milliseconds. Thread safety: any thread.
void ReleaseFreeMemory();

}  // namespace clementineloom::scheduler
