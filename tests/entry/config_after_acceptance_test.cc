#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kFirstJob = "00000000000000a1";
constexpr const char* kJob = "00000000000000a2";
constexpr const char* kTask = "00000000000000a2.0.0.0";
constexpr const char* kLaterJob = "00000000000000a3";
constexpr const char* kWholeWorker = R"([{"count":1,"cpu":8000,"memMb":10,"gpus":8}])";
constexpr const char* kNoTeam = R"({"version":7,"routes":[],"tenants":[]})";
constexpr const char* kNoGuarantee =
    R"({"version":7,"routes":[],"tenants":[{"name":"t","apiKeys":["key"]}]})";
constexpr const char* kOtherService =
    R"({"version":7,"routes":[{"name":"bulk","host":"h","pathPrefix":"/bulk/","service":"other",)"
    R"("priority":2,"maxAttempts":2,"public":true}],"tenants":[]})";
constexpr Milliseconds kRunTime{4'000};
// Longest time for which a job may have nothing running beside idle workers, by the rules.
constexpr Milliseconds kMaxStandstill{3'000};
constexpr int kOk = 200;
constexpr int kNotFound = 404;

// Jobs that wait for room while the configuration changes under which they were accepted.
class ConfigAfterAcceptanceTest : public ClusterTest {};

// Guards against an accepted job that never begins because its queue, its team, the team's
// guarantee or the queue's service is no more what it was when the job was accepted.
TEST_F(ConfigAfterAcceptanceTest, Job_WhoseQueueOrTeamChangesWhileItWaits_BeginsWithRoom) {
  for (const char* config : {kNoTeam, kNoGuarantee, kOtherService}) {
    for (const char* queue : {"/bulk/", "/urgent/"}) {
      SCOPED_TRACE(std::string(config) + queue);
      StandInCluster cluster(2, 1, kRunTime);
      ASSERT_EQ(cluster.Submit(0, kFirstJob, kWholeWorker)->status, kOk);
      ASSERT_EQ(cluster.Submit(0, kJob, kWholeWorker, queue)->status, kOk);
      cluster.store.Put("keyed.op", "config", config);
      cluster.RunFor(kRunTime / 2);
      EXPECT_EQ(cluster.Submit(0, kLaterJob, kWholeWorker)->status, kNotFound);
      ASSERT_EQ(cluster.StartsOf(kTask), 0);
      cluster.RunFor(kRunTime / 2 + kMaxStandstill);
      EXPECT_EQ(cluster.StartsOf(kTask), 1);
    }
  }
}

}  // namespace
}  // namespace clementineloom::entry
