#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr const char* kJobPath = "/urgent/00000000000000a1";
constexpr Milliseconds kRunTime{200};
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;

// Each version of the configuration has a key of its own and revokes that of the version before.
// Requests with the keys show which version an instance uses.
class ConfigStormTest : public ClusterTest {
 protected:
  // An instance that knows the job answers reads itself.
  ConfigStormTest() {
    EXPECT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
    EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(4'000)));
  }

  static constexpr std::uint64_t kLastVersion = 50;
  static constexpr Milliseconds kInterval{100};

  void Publish(std::uint64_t version) {
    published_ = version;
    cluster_.PublishConfig(version, KeyOf(version));
  }
  void Kill(std::size_t instance) {
    cluster_.Kill(instance);
    is_down_[instance] = true;
  }
  // An instance that starts again has used no version yet.
  void Restart(std::size_t instance) {
    cluster_.Restart(instance);
    is_down_[instance] = false;
    used_[instance] = 0;
  }

  void RunAndProbe(Milliseconds span) {
    constexpr Milliseconds kProbeInterval{10};
    for (Milliseconds n{0}; n < span; n += kProbeInterval) {
      cluster_.RunFor(kProbeInterval);
      for (std::size_t instance = 0; instance < kInstances; ++instance) {
        if (!is_down_[instance]) {
          Probe(instance);
        }
      }
    }
  }
  bool IsAccepted(std::size_t instance, std::uint64_t version) {
    cluster_.UseKey(KeyOf(version));
    const auto answer = cluster_.Ask(instance, "GET", kJobPath);
    EXPECT_TRUE(answer.has_value());
    return answer && answer->status != kUnauthorized && answer->status != kUnavailable;
  }

  static constexpr std::size_t kInstances = 3;

  StandInCluster cluster_{kInstances, 1, kRunTime};

 private:
  // "key" is that of the first configuration.
  static std::string KeyOf(std::uint64_t version) {
    return version == 1 ? "key" : "key-" + std::to_string(version);
  }

  void Probe(std::size_t instance) {
    std::uint64_t newest = 0;
    for (std::uint64_t version = 1; version <= published_; ++version) {
      if (IsAccepted(instance, version)) {
        EXPECT_GE(version, used_[instance]) << "instance " << instance;
        newest = version;
      }
    }
    used_[instance] = std::max(used_[instance], newest);
  }

  std::uint64_t published_ = 1;
  std::map<std::size_t, bool> is_down_;
  // Newest version that each instance has used since it started.
  std::map<std::size_t, std::uint64_t> used_;
};

// Guards against an instance that goes back to an earlier version or stays at one, where versions
// follow each other quickly, their history is compacted and an instance starts meanwhile.
TEST_F(ConfigStormTest, Versions_FiftyWithinFiveSeconds_TheLastIsInForceEverywhereInTime) {
  constexpr Milliseconds kBound{2'000};
  constexpr std::uint64_t kCompactEvery = 7;
  constexpr std::uint64_t kKilledAt = 15;
  constexpr std::uint64_t kRestartedAt = 30;
  for (std::uint64_t version = 2; version <= kLastVersion; ++version) {
    Publish(version);
    if (version % kCompactEvery == 0) {
      cluster_.store.Compact("keyed.op");
    }
    if (version == kKilledAt) {
      Kill(0);
    } else if (version == kRestartedAt) {
      Restart(0);
    }
    RunAndProbe(kInterval);
  }
  cluster_.RunFor(kBound);
  for (std::size_t n = 0; n < kInstances; ++n) {
    EXPECT_TRUE(IsAccepted(n, kLastVersion)) << n;
    for (std::uint64_t version = 1; version < kLastVersion; ++version) {
      EXPECT_FALSE(IsAccepted(n, version)) << n << " " << version;
    }
  }
  RunAndProbe(kBound);
}

// Guards against an instance that goes back to an earlier version because the store returns one
// after the version in force.
TEST_F(ConfigStormTest, Version_ReadAfterANewerOne_IsIgnored) {
  constexpr Milliseconds kBound{2'000};
  Publish(3);
  cluster_.RunFor(kBound);
  Publish(2);
  cluster_.RunFor(kBound);
  for (std::size_t n = 0; n < kInstances; ++n) {
    EXPECT_TRUE(IsAccepted(n, 3)) << n;
    EXPECT_FALSE(IsAccepted(n, 2)) << n;
  }
}

// Guards against the same for an instance that does not reach the store during the storm, and reads
// the compacted history afterwards.
TEST_F(ConfigStormTest,
       Versions_PublishedWhileAnInstanceIsCutOff_TheLastIsInForceEverywhereInTime) {
  constexpr Milliseconds kBound{2'000};
  cluster_.port(0).LoseAnswers(standin::StandInStore::kAddress);
  for (std::uint64_t version = 2; version <= kLastVersion; ++version) {
    Publish(version);
    RunAndProbe(kInterval);
  }
  cluster_.store.Compact("keyed.op");
  cluster_.port(0).Heal(standin::StandInStore::kAddress);
  RunAndProbe(kBound);
  for (std::size_t n = 0; n < kInstances; ++n) {
    EXPECT_TRUE(IsAccepted(n, kLastVersion)) << n;
    EXPECT_FALSE(IsAccepted(n, kLastVersion - 1)) << n;
  }
}

}  // namespace
}  // namespace clementineloom::entry
