#pragma once

namespace clementineloom::soak {

/// @brief Kind of a fault, or of planned work, that a soak carries out.
enum class FaultKind {
  // Planned work.
  kTerminate,
  kTerminateTwo,
  /// SIGTERM and restart of all instances, one after another.
  kRollingRestart,
  kHangUp,
  kConfigChange,
  // Faults of instances.
  kKill,
  kKillOwner,
  /// SIGKILL of all instances just after a job has been accepted.
  kKillAll,
  kFreeze,
  /// The same as kKillAll, but once in a run, for longer, and with jobs still coming afterwards.
  kPowerOffAll,
  // Faults of the store.
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreRefuses,
  kStoreRefusesAppends,
  /// The store refuses the connections of some instances.
  kStoreTurnsAway,
  /// An instance is stopped while the store drops the records that it has not read.
  kHistoryForgotten,
  // Faults of links.
  kLinkDelay,
  kLinkReset,
  kLinkCutToTarget,
  kLinkCutToCaller,
  kLinkSilence,
  // Faults of workers.
  kWorkerCrash,
  kWorkerMute,
  kWorkerFails,
  kWorkerLate,
};

}  // namespace clementineloom::soak
