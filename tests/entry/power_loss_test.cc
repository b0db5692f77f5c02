#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::SimWorld;
using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOtherJob = "00000000000000a2";
constexpr const char* kTwoTasks = R"([{"count":2,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr const char* kJobPath = "/urgent/00000000000000a1";
constexpr Milliseconds kRunTime{200};
constexpr Milliseconds kLongRunTime{12'000};
// Within this time a job completes once everything is back.
constexpr Milliseconds kCompletion{20'000};
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

// All instances and workers lose their power at once; only the store keeps what it has.
class PowerLossTest : public ClusterTest {
 protected:
  // What the store does from shortly before the power loss until the power is back.
  enum class Fault {
    kNone,
    kAnswersLost,
    // Appends that are held are applied when the power is back, or a while later.
    kOwnerHeldBriefly,
    kOwnerHeldLong,
    kCallersHeldBriefly,
    kCallersHeldLong,
    kOwnersCallersRefused,
    kOthersCallersRefused,
  };
  static constexpr Fault kFaults[] = {Fault::kNone,
                                      Fault::kAnswersLost,
                                      Fault::kOwnerHeldBriefly,
                                      Fault::kOwnerHeldLong,
                                      Fault::kCallersHeldBriefly,
                                      Fault::kCallersHeldLong,
                                      Fault::kOwnersCallersRefused,
                                      Fault::kOthersCallersRefused};
  static constexpr int kDelaysMs[] = {0, 50, 100, 200, 300, 400};

  void Begin(Milliseconds run_time) {
    cluster_ = std::make_unique<StandInCluster>(3, 2, run_time);
    owner_ = Owner(*cluster_);
    front_ = owner_ == 0 ? 1 : 0;
  }

  void BeginFault(Fault fault) {
    constexpr int kMany = 1'000;
    constexpr int kFew = 3;
    fault_ = fault;
    standin::StandInStore& store = cluster_->store;
    switch (fault) {
      case Fault::kNone:
        break;
      case Fault::kAnswersLost:
        store.LoseAppendAnswers(kFew);
        break;
      case Fault::kOwnerHeldBriefly:
      case Fault::kOwnerHeldLong:
        store.HoldAppendsOf("owner", kMany);
        break;
      case Fault::kCallersHeldBriefly:
      case Fault::kCallersHeldLong:
        store.HoldAppendsOf("e", kMany);
        break;
      case Fault::kOwnersCallersRefused:
        store.RefuseAppendsOf(CallerProducerOf(owner_), Milliseconds(0));
        break;
      case Fault::kOthersCallersRefused:
        store.RefuseAppendsOf(CallerProducerOf(front_), Milliseconds(0));
        break;
    }
  }

  void LosePowerFor(Milliseconds time) {
    for (std::size_t n = 0; n < kInstances; ++n) {
      cluster_->Kill(n);
    }
    std::vector<SimWorld::Server> servers;
    for (const auto& it : cluster_->workers) {
      servers.push_back(*cluster_->world.Find(it->address()));
      cluster_->world.StopServing(it->address());
      it->Restart();
    }
    cluster_->RunFor(time);
    EndFault();
    for (std::size_t n = 0; n < kInstances; ++n) {
      cluster_->Restart(n);
    }
    for (std::size_t n = 0; n < servers.size(); ++n) {
      standin::StandInWorker& worker = *cluster_->workers[n];
      cluster_->world.Serve(worker.address(), servers[n]);
      worker.Restart();
      cluster_->Register(worker);
    }
    if (fault_ == Fault::kOwnerHeldLong || fault_ == Fault::kCallersHeldLong) {
      cluster_->RunFor(Milliseconds(3'000));
      cluster_->store.ApplyHeldAppends();
    }
    cluster_->RunFor(Milliseconds(4'000));
  }

  int Submit(std::size_t instance) {
    const auto answer = cluster_->Submit(instance, kJob, kTwoTasks);
    return answer ? answer->status : 0;
  }
  int Starts() const {
    return cluster_->StartsOf(std::string(kJob) + ".0.0.0") +
           cluster_->StartsOf(std::string(kJob) + ".0.0.1");
  }

  // What was acknowledged is there and completes, a refused submission never starts, and a repeated
  // submission with an unknown outcome is accepted and completes.
  void ExpectOutcomeOf(int submission_status) {
    if (submission_status == kUnavailable) {
      cluster_->RunFor(Milliseconds(3'000));
      EXPECT_EQ(Starts(), 0);
      for (std::size_t n = 0; n < kInstances; ++n) {
        EXPECT_EQ(cluster_->Ask(n, "GET", kJobPath)->status, kGone) << n;
      }
      return;
    }
    if (submission_status != kOk) {
      EXPECT_EQ(Submit(front_), kOk);
    }
    EXPECT_TRUE(cluster_->RunUntilState(kJob, "completed", kCompletion));
    EXPECT_TRUE(cluster_->tasks_on_two_workers.empty());
    ExpectNewWorkCompletes();
  }
  void ExpectNewWorkCompletes() {
    EXPECT_EQ(cluster_->Submit(front_, kOtherJob, kTwoTasks)->status, kOk);
    EXPECT_TRUE(cluster_->RunUntilState(kOtherJob, "completed", kCompletion));
  }

  static constexpr std::size_t kInstances = 3;

  std::unique_ptr<StandInCluster> cluster_;
  std::size_t owner_ = 0;
  // An instance that does not own the workers.
  std::size_t front_ = 0;

 private:
  static std::string CallerProducerOf(std::size_t instance) {
    return "e" + std::to_string(instance) + "-";
  }

  void EndFault() {
    standin::StandInStore& store = cluster_->store;
    store.LoseAppendAnswers(0);
    store.HoldAppendsOf("owner", 0);
    store.HoldAppendsOf("e", 0);
    for (const std::size_t it : {owner_, front_}) {
      store.DelayAppendsOf(CallerProducerOf(it), Milliseconds(0));
    }
    if (fault_ == Fault::kOwnerHeldBriefly || fault_ == Fault::kCallersHeldBriefly) {
      store.ApplyHeldAppends();
    }
  }

  Fault fault_ = Fault::kNone;
};

// Guards against an accepted job that is lost and a refused one that starts, when the power is lost
// shortly after the answer.
TEST_F(PowerLossTest, Submission_AnsweredBeforeThePowerLoss_HasTheOutcomeOfItsAnswer) {
  for (const Fault fault : kFaults) {
    for (const int delay_ms : kDelaysMs) {
      for (const bool is_at_owner : {false, true}) {
        SCOPED_TRACE("fault " + std::to_string(static_cast<int>(fault)) + ", " +
                     std::to_string(delay_ms) + " ms, at owner " + std::to_string(is_at_owner));
        Begin(kRunTime);
        BeginFault(fault);
        const int status = Submit(is_at_owner ? owner_ : front_);
        EXPECT_NE(status, 0);
        cluster_->RunFor(Milliseconds(delay_ms));
        LosePowerFor(Milliseconds(1'000));
        ExpectOutcomeOf(status);
      }
    }
  }
}

// Guards against the same if the power is lost in the middle of an append: before the request
// reaches the store, before it is applied, and before it is answered.
TEST_F(PowerLossTest, Submission_InProgressAtThePowerLoss_IsTakenWholeOrNotAtAll) {
  constexpr int kLastMs = 14;
  for (const Fault fault : {Fault::kNone, Fault::kAnswersLost, Fault::kCallersHeldBriefly,
                            Fault::kCallersHeldLong, Fault::kOwnerHeldLong}) {
    for (int after_ms = 0; after_ms <= kLastMs; ++after_ms) {
      SCOPED_TRACE("fault " + std::to_string(static_cast<int>(fault)) + ", " +
                   std::to_string(after_ms) + " ms");
      Begin(kRunTime);
      BeginFault(fault);
      const auto exchange = cluster_->Send(
          front_, "POST", kJobPath, std::string(R"({"spec":"x","steps":)") + kTwoTasks + "}");
      cluster_->RunFor(Milliseconds(after_ms));
      LosePowerFor(Milliseconds(1'000));
      const auto answer = cluster_->AnswerTo(exchange);
      ExpectOutcomeOf(answer ? answer->status : 0);
    }
  }
}

// Guards against a cancelled job that starts again, from a start or an end that was recorded before
// or after its cancellation.
TEST_F(PowerLossTest, Job_CancelledBeforeThePowerLoss_DoesNotStartAfterIt) {
  for (const Fault fault : kFaults) {
    for (const int delay_ms : kDelaysMs) {
      for (const int started_ms : {0, 20, 500}) {
        SCOPED_TRACE("fault " + std::to_string(static_cast<int>(fault)) + ", " +
                     std::to_string(delay_ms) + " ms, started " + std::to_string(started_ms));
        Begin(kLongRunTime);
        ASSERT_EQ(Submit(front_), kOk);
        cluster_->RunFor(Milliseconds(started_ms));
        BeginFault(fault);
        const auto answer = cluster_->Ask(front_, "DELETE", kJobPath);
        ASSERT_TRUE(answer.has_value());
        cluster_->RunFor(Milliseconds(delay_ms));
        const int starts = Starts();
        LosePowerFor(Milliseconds(1'000));
        cluster_->RunFor(Milliseconds(3'000));
        if (answer->status == kOk) {
          EXPECT_EQ(Starts(), starts);
          EXPECT_EQ(cluster_->RunningCount(), 0U);
          EXPECT_TRUE(cluster_->RunUntilState(kJob, "cancelled", Milliseconds(100)));
        } else if (answer->status == kUnavailable) {
          EXPECT_EQ(cluster_->RunningCount(), 2U);
        }
        EXPECT_TRUE(cluster_->tasks_on_two_workers.empty());
      }
    }
  }
}

// Guards against an instance that uses an earlier configuration after the power loss.
TEST_F(PowerLossTest, Configuration_PublishedBeforeThePowerLoss_IsInForceAtEachInstance) {
  for (const bool is_compacted : {false, true}) {
    for (const int delay_ms : kDelaysMs) {
      SCOPED_TRACE(std::to_string(delay_ms) + " ms, compacted " + std::to_string(is_compacted));
      Begin(kRunTime);
      ASSERT_EQ(Submit(front_), kOk);
      cluster_->PublishConfig(2, "newer-key");
      cluster_->RunFor(Milliseconds(delay_ms));
      if (is_compacted) {
        cluster_->store.Compact("keyed.op");
      }
      LosePowerFor(Milliseconds(1'000));
      for (std::size_t n = 0; n < kInstances; ++n) {
        cluster_->UseKey("key");
        EXPECT_EQ(cluster_->Ask(n, "GET", kJobPath)->status, kUnauthorized) << n;
        cluster_->UseKey("newer-key");
        EXPECT_EQ(cluster_->Ask(n, "GET", kJobPath)->status, kOk) << n;
      }
      ExpectNewWorkCompletes();
    }
  }
}

}  // namespace
}  // namespace clementineloom::entry
