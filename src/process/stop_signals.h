#pragma once

namespace clementineloom::process {

/// @brief Blocks SIGINT and SIGTERM in the calling thread and in threads that it starts later.
/// Precondition: no other thread runs yet.
void BlockStopSignals();

/// @brief Waits for SIGINT or SIGTERM. Precondition: BlockStopSignals was called.
/// @return the number of the signal
int WaitForStopSignal();

}  // namespace clementineloom::process
