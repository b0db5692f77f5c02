#pragma once

namespace clementineloom::process {

/// @brief Makes writes to a pipe without a reader fail in place of ending the process, so that a
/// daemon outlives the reader of its log. Thread safety: may be called from any thread.
void IgnoreBrokenPipes();

}  // namespace clementineloom::process
