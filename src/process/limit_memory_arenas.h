#pragma once

namespace clementineloom::process {

/// @brief Lets all threads share two memory arenas.
///
/// The C library's default of eight arenas a core would alone put a daemon over its 32 MB.
/// Precondition: no other thread runs yet.
void LimitMemoryArenas();

}  // namespace clementineloom::process
