#pragma once

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/decision/decision_engine.h"
#include "clementineloom/decision/first_fit_placer.h"
#include "clementineloom/decision/plan_make.h"
#include "clementineloom/state/cluster_state.h"
#include "support/value_or_die.h"

namespace clementineloom {

/// @brief First-fit engine that also stops jobs in data centres out of service, and refuses jobs
/// that need more workers than a rack has.
class PlanTestEngine {
 public:
  [[nodiscard]] std::vector<RecordBody> Decide(const ClusterState& state, Instant now) {
    std::vector<RecordBody> records;
    for (const JobId id : state.active_jobs()) {
      const JobEntry& job = *state.FindJob(id);
      const WorkerEntry& worker = state.worker(job.allocations.front().worker());
      const bool is_out = !state.data_centre(worker.data_centre).data_centre.in_service();
      if (is_out && job.phase != JobPhase::kStopping) {
        records.emplace_back(StopRequested{id, job.attempt, StopReason::kDataCentreOut, {}});
      }
    }
    for (const JobId id : state.waiting_jobs()) {
      if (state.FindJob(id)->spec->shape().workers() > kWorkersPerRack) {
        records.emplace_back(JobRefused{id, ResultCode::kJobNeverFits});
      }
    }
    return records.empty() ? first_fit_engine_.Decide(state, now) : records;
  }

  static constexpr std::uint16_t kWorkersPerRack = 2;

 private:
  DecisionEngine<FirstFitPlacer> first_fit_engine_{FirstFitPlacer{}};
};

/// @brief Two data centres, "north" and "south", with one rack of two workers of 8 accelerators
/// each, and the team "ops" with one guaranteed worker.
class PlanFixture : public testing::Test {
 protected:
  PlanFixture() {
    Change({DataCentreEdit("north", true), DataCentreEdit("south", true), TeamEdit("ops", true)});
    for (const char* name : {"north", "south"}) {
      for (const char* number : {"1", "2"}) {
        Worker::Fields fields{.name = std::string(name) + number,
                              .address = "127.0.0.1:1",
                              .data_centre = name,
                              .rack = "r"};
        (void)Apply(
            WorkerRegistered{testing_support::ValueOrDie([&] { return Worker::Create(fields); })});
      }
    }
  }

  static ConfigEdit DataCentreEdit(const std::string& name, bool in_service) {
    return SetDataCentre{testing_support::ValueOrDie([&] {
      return DataCentre::Create({.name = name, .region = "home", .in_service = in_service});
    })};
  }

  static GangShape Shape(std::uint16_t accelerators, std::uint16_t workers) {
    return testing_support::ValueOrDie([&] {
      return GangShape::Create({.accelerators_per_worker = accelerators,
                                .workers = workers,
                                .adjacency = workers == 1 ? Adjacency::kWorker : Adjacency::kRack});
    });
  }

  static ConfigEdit TeamEdit(const std::string& name, bool may_borrow) {
    Team::Fields fields{.name = name, .guarantees = {Guarantee(Shape(8, 1), 1)}};
    fields.may_borrow = may_borrow;
    return SetTeam{testing_support::ValueOrDie([&] { return Team::Create(fields); })};
  }

  ApplyOutcome Apply(RecordBody body) {
    const LogOffset offset(state_.applied_offset().value() + 1);
    return state_.Apply(offset, Record{"t" + std::to_string(offset.value()), std::move(body)});
  }

  void Change(std::vector<ConfigEdit> edits) {
    ASSERT_TRUE(Apply(ConfigChanged{state_.config_revision(), std::move(edits), "t"}).accepted());
  }

  JobId Submit(std::uint16_t accelerators, std::uint16_t workers) {
    JobSpec::Fields fields{.team = "ops",
                           .job_class = "c",
                           .shape = Shape(accelerators, workers),
                           .priority = JobPriority::kNormal,
                           .declared_run_time = Duration(0),
                           .command = ""};
    const JobSpec spec = testing_support::ValueOrDie([&] { return JobSpec::Create(fields); });
    const std::string key = "k" + std::to_string(state_.applied_offset().value());
    return Apply(JobSubmitted{key, spec, kNow}).job();
  }

  /// Applies decisions until there are no more, then starts every placed job.
  void Settle() {
    for (auto records = engine_.Decide(state_, kNow); !records.empty();
         records = engine_.Decide(state_, kNow)) {
      for (RecordBody& body : records) {
        (void)Apply(std::move(body));
      }
    }
    const std::set<JobId> placed = state_.active_jobs();
    for (const JobId job : placed) {
      (void)Apply(JobStarted{job, state_.FindJob(job)->attempt});
    }
  }

  [[nodiscard]] Plan PlanOf(const std::vector<ConfigEdit>& edits) const {
    return testing_support::ValueOrDie([&] { return MakePlan(state_, edits, engine_, kNow); });
  }

  [[nodiscard]] std::optional<Refusal> PlanRefusal(const std::vector<ConfigEdit>& edits) const {
    return RefusalOf([&] { return MakePlan(state_, edits, engine_, kNow); });
  }

  static constexpr Instant kNow{};
  ClusterState state_;
  PlanTestEngine engine_;
};

}  // namespace clementineloom
