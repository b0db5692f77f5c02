#pragma once

namespace clementineloom::process {

/// @brief Blocks SIGINT and SIGTERM in the calling thread and in threads that it starts later.
/// Precondition: no other thread runs yet.
void BlockStopSignals();

/// @brief Waits for SIGINT or SIGTERM. Precondition: BlockStopSignals was called.
/// @return the number of the signal
int WaitForStopSignal();

/// @brief Blocks SIGINT, SIGTERM and SIGHUP in the calling thread and in threads that it starts
/// later. A SIGHUP that is neither blocked nor handled ends the process.
/// Precondition: no other thread runs yet.
void BlockControlSignals();

/// @brief Waits for SIGINT, SIGTERM or SIGHUP. Precondition: BlockControlSignals was called.
/// @return the number of the signal
int WaitForControlSignal();

}  // namespace clementineloom::process
