#pragma once

namespace clementineloom::fakes {

/// @brief Blocks SIGINT and SIGTERM in the calling thread and in threads that it starts later.
/// Precondition: no other thread runs yet.
void BlockStopSignals();

/// @brief Waits for SIGINT or SIGTERM. Precondition: BlockStopSignals was called.
void WaitForStopSignal();

}  // namespace clementineloom::fakes
