#include "soak/fault_kind_names.h"

#include <algorithm>
#include <array>

namespace clementineloom::soak {
namespace {

struct Row {
  FaultKind kind;
  std::string_view name;
  std::string_view group;
};

constexpr std::array kRows{
    Row{FaultKind::kTerminate, "term", "planned"},
    Row{FaultKind::kTerminateTwo, "term-two", "planned"},
    Row{FaultKind::kRollingRestart, "rolling", "planned"},
    Row{FaultKind::kHangUp, "hup", "planned"},
    Row{FaultKind::kConfigChange, "config", "planned"},
    Row{FaultKind::kKill, "kill", "process"},
    Row{FaultKind::kKillOwner, "kill-owner", "process"},
    Row{FaultKind::kKillAll, "kill-all", "process"},
    Row{FaultKind::kFreeze, "freeze", "process"},
    Row{FaultKind::kPowerOffAll, "power-off-all", "power"},
    Row{FaultKind::kStoreSlow, "store-slow", "store"},
    Row{FaultKind::kStoreLosesAnswers, "store-loses-answers", "store"},
    Row{FaultKind::kStoreRefuses, "store-refuses", "store"},
    Row{FaultKind::kStoreRefusesAppends, "store-refuses-appends", "store"},
    Row{FaultKind::kStoreTurnsAway, "store-turns-away", "store"},
    Row{FaultKind::kHistoryForgotten, "history", "store"},
    Row{FaultKind::kLinkDelay, "link-delay", "link"},
    Row{FaultKind::kLinkReset, "link-reset", "link"},
    Row{FaultKind::kLinkCutToTarget, "link-cut-to-target", "link"},
    Row{FaultKind::kLinkCutToCaller, "link-cut-to-caller", "link"},
    Row{FaultKind::kLinkSilence, "link-silence", "link"},
    Row{FaultKind::kWorkerCrash, "worker-crash", "worker"},
    Row{FaultKind::kWorkerMute, "worker-mute", "worker"},
    Row{FaultKind::kWorkerFails, "worker-fails", "worker"},
    Row{FaultKind::kWorkerLate, "worker-late", "worker"},
};

}  // namespace

std::string_view FaultKindName(FaultKind kind) {
  const auto it = std::ranges::find(kRows, kind, &Row::kind);
  return it == kRows.end() ? "" : it->name;
}

std::set<FaultKind> FaultKindsNamed(std::string_view name) {
  std::set<FaultKind> kinds;
  for (const Row& it : kRows) {
    if (name == it.name || name == it.group || name == "all") {
      kinds.insert(it.kind);
    }
  }
  return kinds;
}

}  // namespace clementineloom::soak
