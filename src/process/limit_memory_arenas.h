#pragma once

namespace clementineloom::process {

/// @brief Lets all threads share two memory arenas.
///
/// With the C library's default of eight arenas per core, the arenas alone would exceed a daemon's
/// memory limit of 32 MB.
/// Precondition: no other thread runs yet.
void LimitMemoryArenas();

}  // namespace clementineloom::process
