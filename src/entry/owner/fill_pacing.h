#pragma once

#include <string>
#include <vector>

#include "clementineloom/workload/fill_pacer.h"
#include "codec/task_name.h"
#include "entry/owner/owner_core.h"
#include "entry/worker/pace_order.h"

namespace clementineloom::entry {

/// @brief Orders workers to throttle backfill runs that share a worker with service tasks.
///
/// A pace that the worker does not confirm is ordered again at its next report.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class FillPacing {
 public:
  explicit FillPacing(OwnerCore<Platform, Port>& core) : core_(core) {}

  /// @brief Whether backfill runs and service tasks share a worker, so that it must be polled more
  /// often.
  [[nodiscard]] static bool IsMixed(const workload::PoolWorker& worker) {
    return worker.HasFillTasks() && worker.HasServiceTasks();
  }

  /// @brief Adjusts the pace of a worker's backfill runs after the loads of its runs were updated.
  void OnReport(const std::string& id) {
    std::vector<workload::ServiceLoad> services;
    std::vector<workload::FillRun> fills;
    for (const auto& [run, placed] : core_.workers[id].runs) {
      if (placed.stage != workload::RunStage::kRunning) {
        continue;
      }
      if (placed.tail_target_ms > 0) {
        services.push_back({placed.load_figure, placed.tail_target_ms});
      } else if (placed.fills_idle_cpu) {
        fills.push_back({run, ImageOf(run), placed.pace_percent});
      }
    }
    for (const workload::PaceChange& it : pacer_.OnReport(id, services, fills, core_.port.Now())) {
      Order(id, it);
    }
  }

 private:
  std::string ImageOf(const workload::TaskRun& run) const {
    const workload::StepSpec* spec = core_.jobs.FindStep(run.task.step);
    return spec == nullptr ? std::string() : spec->image;
  }

  void Order(const std::string& id, const workload::PaceChange& change) {
    logging::LogEvent(logging::LogLevel::kInfo, "run_paced",
                      {{"task", codec::TaskName(change.run.task)},
                       {"run", change.run.run},
                       {"worker", id},
                       {"percent", change.percent}});
    core_.Order(id, Platform::PaceRequest({change.run, change.percent, core_.options.epoch}, id),
                [this, id, change](const OrderAnswer& answer) { OnAnswer(id, change, answer); });
  }

  void OnAnswer(const std::string& id, const workload::PaceChange& change,
                const OrderAnswer& answer) {
    workload::PlacedRun* placed = core_.FindRun(id, change.run);
    if (placed == nullptr) {
      return;
    }
    if (answer.status == OrderStatus::kDone) {
      placed->pace_percent = change.percent;
    } else {
      placed->pace_percent.reset();
    }
  }

  OwnerCore<Platform, Port>& core_;
  workload::FillPacer pacer_;
};

}  // namespace clementineloom::entry
