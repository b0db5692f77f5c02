#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "entry/cluster_test.h"

namespace clementineloom::entry {

/// @brief Fixture with a queue "/advised/" whose workers check the tickets of the advice service.
class AdviceClusterTest : public ClusterTest {
 protected:
  using Milliseconds = workload::Milliseconds;

  static constexpr const char* kFirst = "00000000000000a1";
  static constexpr const char* kSecond = "00000000000000a2";
  static constexpr const char* kOneTask = R"([{"count":1,"cpu":100,"memMb":10,"gpus":1}])";
  static constexpr Milliseconds kRunTime{60'000};
  // A job whose turn has come may have nothing running for this time beside free workers.
  static constexpr Milliseconds kMaxStandstill{3'000};
  static constexpr Milliseconds kValidity{3'000};
  // With the stand-in's own seed, an election and a first look at the workers are over by then.
  static constexpr Milliseconds kUntilSettled{3'000};
  static constexpr int kOk = 200;

  AdviceClusterTest(int instances, int workers) : cluster_(instances, workers, kRunTime) {
    for (const auto& worker : cluster_.workers) {
      worker->CheckTickets([this, id = worker->id()](const std::string& task,
                                                     const std::string& ticket,
                                                     std::int64_t life_began_at_ms) {
        const std::string step = task.substr(0, task.rfind('.'));
        return cluster_.advice.Accepts(ticket, step, id, life_began_at_ms);
      });
    }
  }

  // Publishes the queue with the times of an answer, which the service keeps to.
  void PublishQueue(Milliseconds decision, Milliseconds per_worker) {
    namespace json = boost::json;
    cluster_.advice.SetTimes(decision, per_worker);
    cluster_.advice.SetValidity(kValidity);
    const json::object queue{{"name", "advised"},
                             {"host", "h"},
                             {"pathPrefix", "/advised/"},
                             {"service", "inspect"},
                             {"priority", 1},
                             {"maxAttempts", 4},
                             {"public", true},
                             {"advice", json::object{{"decisionMs", decision.count()},
                                                     {"perWorkerMs", per_worker.count()},
                                                     {"validMs", kValidity.count()}}}};
    cluster_.store.Put(
        "keyed.op", "config",
        json::serialize(json::object{
            {"version", ++version_}, {"routes", json::array{queue}}, {"tenants", json::array{}}}));
    cluster_.RunFor(kUntilSettled);
  }
  void SubmitAdvised(const std::string& job, const std::string& steps = kOneTask) {
    ASSERT_EQ(cluster_.Submit(Owner(cluster_), job, steps, "/advised/")->status, kOk);
  }
  // Number of tasks of a job's first step that run, up to a number of them.
  [[nodiscard]] std::size_t RunningOf(const std::string& job, std::size_t tasks) const {
    std::size_t running = 0;
    for (std::size_t n = 0; n < tasks; ++n) {
      running += cluster_.WorkersRunning(job + ".0.0." + std::to_string(n)).empty() ? 0 : 1;
    }
    return running;
  }
  [[nodiscard]] int RefusedTickets() const {
    int refused = 0;
    for (const auto& it : cluster_.workers) {
      refused += it->refused_tickets();
    }
    return refused;
  }
  static std::string FirstStep(const std::string& job) { return job + ".0.0"; }

  standin::StandInCluster cluster_;

 private:
  std::uint64_t version_ = 1;
};

}  // namespace clementineloom::entry
