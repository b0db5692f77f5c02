#include "process/ignore_broken_pipes.h"

#include <csignal>

namespace clementineloom::process {

void IgnoreBrokenPipes() { (void)std::signal(SIGPIPE, SIG_IGN); }

}  // namespace clementineloom::process
