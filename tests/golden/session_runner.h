#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clementineloom/decision/default_decision_engine.h"
#include "clementineloom/decision/plan.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::golden {

/// @brief Runs the commands of a session against the state and the decision engine, and returns
/// the outcome as text. Jobs appear under their keys and time starts at 0, so that the text is
/// reproducible.
class SessionRunner {
 public:
  /// @brief Runs one command line. @return its output, zero or more lines
  [[nodiscard]] std::string Run(const std::string& line);

 private:
  using Words = std::vector<std::string>;

  std::string Configure(const std::string& author, ConfigEdit edit);
  std::string SetUpTeam(const Words& words);
  std::string SetUpDataCentre(const Words& words);
  std::string RegisterWorkers(const Words& words);
  std::string RegisterReplacement(const Words& words);
  std::string ChangeWorker(const Words& words);
  std::string Submit(const Words& words);
  std::string CancelJobs(const Words& words);
  std::string Report(const Words& words);
  std::string DeleteTeamByName(const Words& words);
  std::string Decide(const Words& words);
  std::string PlanDataCentre(const Words& words);
  std::string Confirm(const Words& words);
  std::string Advance(const Words& words);
  std::string Explain(const Words& words);
  std::string Show(const Words& words);
  std::string Replay(const Words& words);
  std::string RepeatLast(const Words& words);

  ApplyOutcome Append(RecordBody body);
  std::string Describe(const RecordBody& body, const ApplyOutcome& outcome) const;
  std::string Describe(const Plan& plan) const;
  [[nodiscard]] JobId Job(const std::string& key) const;
  [[nodiscard]] std::string Key(JobId job) const;

  ClusterState state_;
  DefaultDecisionEngine engine_;
  std::vector<Record> log_;
  std::map<std::string, Plan> plans_;
  Instant now_;
};

}  // namespace clementineloom::golden
