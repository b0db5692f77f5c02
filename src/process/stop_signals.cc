#include "process/stop_signals.h"

#include <csignal>

namespace clementineloom::process {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

sigset_t ControlSignals() {
  sigset_t signals = StopSignals();
  sigaddset(&signals, SIGHUP);
  return signals;
}

int WaitFor(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
  return signal;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int WaitForStopSignal() { return WaitFor(StopSignals()); }

void BlockControlSignals() {
  const sigset_t signals = ControlSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int WaitForControlSignal() { return WaitFor(ControlSignals()); }

}  // namespace clementineloom::process
