#pragma once

#include <string_view>

#include "clementineloom/workload/run_stage.h"

namespace clementineloom::entry {

/// @brief The name of a stage in the log.
/// Thread safety: may be called from any thread.
[[nodiscard]] constexpr std::string_view RunStageName(workload::RunStage stage) {
  switch (stage) {
    case workload::RunStage::kRecording:
      return "recording";
    case workload::RunStage::kStarting:
      return "starting";
    case workload::RunStage::kRunning:
      return "running";
    case workload::RunStage::kStopping:
      return "stopping";
  }
  return {};
}

}  // namespace clementineloom::entry
