#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::SimPort;
using standin::StandInCluster;
using standin::StandInStore;
using workload::Milliseconds;

constexpr const char* kSixTasks = R"([{"count":6,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr Milliseconds kRunTime{3'000};
// Within this time a job completes once all connections are healed.
constexpr Milliseconds kCompletion{25'000};
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

// Connections on which requests do not arrive although answers to earlier ones do, or the other way
// round. Callers submit jobs at all instances before, during and after the cut.
class OneWayCutTest : public ClusterTest {
 protected:
  enum class Lost { kRequests, kAnswers };
  static constexpr Lost kDirections[] = {Lost::kRequests, Lost::kAnswers};
  static constexpr int kCutsMs[] = {700, 2'000, 5'000, 9'000};
  static constexpr std::size_t kInstances = 3;

  void Begin() {
    accepted_.clear();
    refused_.clear();
    cluster_ = std::make_unique<StandInCluster>(kInstances, 3, kRunTime);
    owner_ = Owner(*cluster_);
    Submit(owner_);
    cluster_->RunFor(Milliseconds(200));
  }

  void Cut(std::size_t instance, const std::string& address, Lost lost) {
    SimPort& port = cluster_->port(instance);
    lost == Lost::kRequests ? port.LoseRequests(address) : port.LoseAnswers(address);
  }
  void Heal(std::size_t instance, const std::string& address) {
    cluster_->port(instance).Heal(address);
  }
  void SubmitEverywhere() {
    for (std::size_t n = 0; n < kInstances; ++n) {
      Submit(n);
    }
  }
  // Precondition: everything is healed.
  void ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart() {
    SubmitEverywhere();
    for (const std::string& it : accepted_) {
      EXPECT_TRUE(cluster_->RunUntilState(it, "completed", kCompletion)) << it;
    }
    for (const std::string& it : refused_) {
      EXPECT_EQ(cluster_->StartsOf(it + ".0.0.0"), 0) << it;
    }
    EXPECT_TRUE(cluster_->tasks_on_two_workers.empty());
    EXPECT_EQ(cluster_->OwnerCount(), 1);
  }
  static std::string AddressOf(std::size_t instance) {
    return "10.0.2." + std::to_string(instance) + ":1";
  }

  std::unique_ptr<StandInCluster> cluster_;
  std::size_t owner_ = 0;

 private:
  void Submit(std::size_t instance) {
    constexpr std::size_t kFirstId = 100;
    const std::string job = "0000000000000" + std::to_string(kFirstId + next_job_++);
    const auto answer = cluster_->Submit(instance, job, kSixTasks, "/bulk/");
    ASSERT_TRUE(answer.has_value()) << job;
    if (answer->status == kOk) {
      accepted_.push_back(job);
    } else if (answer->status == kUnavailable) {
      refused_.push_back(job);
    }
  }

  std::size_t next_job_ = 0;
  std::vector<std::string> accepted_;
  std::vector<std::string> refused_;
};

// Guards against an owner that goes on beside its successor, or loses what it accepted, because it
// reaches the store in one direction only.
TEST_F(OneWayCutTest, Owner_CutOneWayFromTheStore_NothingIsLostOrRunTwice) {
  for (const Lost lost : kDirections) {
    for (const int cut_ms : kCutsMs) {
      SCOPED_TRACE(std::to_string(cut_ms) + " ms, lost " + std::to_string(static_cast<int>(lost)));
      Begin();
      Cut(owner_, StandInStore::kAddress, lost);
      cluster_->RunFor(Milliseconds(cut_ms / 2));
      SubmitEverywhere();
      cluster_->RunFor(Milliseconds(cut_ms / 2));
      Heal(owner_, StandInStore::kAddress);
      ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
    }
  }
}

// Guards against the same towards the workers: runs that are started twice because an order or its
// answer is lost, and workers that are never used again.
TEST_F(OneWayCutTest, Owner_CutOneWayFromWorkers_NothingIsLostOrRunTwice) {
  for (const Lost lost : kDirections) {
    for (const std::size_t workers : {1U, 2U, 3U}) {
      for (const int cut_ms : kCutsMs) {
        SCOPED_TRACE(std::to_string(workers) + " workers, " + std::to_string(cut_ms) +
                     " ms, lost " + std::to_string(static_cast<int>(lost)));
        Begin();
        for (std::size_t n = 0; n < workers; ++n) {
          Cut(owner_, cluster_->workers[n]->address(), lost);
        }
        SubmitEverywhere();
        cluster_->RunFor(Milliseconds(cut_ms));
        for (std::size_t n = 0; n < workers; ++n) {
          Heal(owner_, cluster_->workers[n]->address());
        }
        ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
      }
    }
  }
}

// Guards against two owners that share the workers: the former one reaches them but not the store.
TEST_F(OneWayCutTest, Owner_CutOneWayFromTheStoreAndAWorker_NothingIsLostOrRunTwice) {
  for (const Lost from_store : kDirections) {
    for (const Lost from_worker : kDirections) {
      for (const int cut_ms : kCutsMs) {
        SCOPED_TRACE(std::to_string(cut_ms) + " ms, lost " +
                     std::to_string(static_cast<int>(from_store)) + " " +
                     std::to_string(static_cast<int>(from_worker)));
        Begin();
        const std::string worker = cluster_->workers[0]->address();
        Cut(owner_, StandInStore::kAddress, from_store);
        Cut(owner_, worker, from_worker);
        SubmitEverywhere();
        cluster_->RunFor(Milliseconds(cut_ms));
        Heal(owner_, StandInStore::kAddress);
        Heal(owner_, worker);
        ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
      }
    }
  }
}

// Guards against requests that are refused or recorded twice because the instance that callers
// reached hears from the owner in one direction only.
TEST_F(OneWayCutTest, Peers_CutOneWayFromTheOwner_NothingIsLostOrRunTwice) {
  for (const Lost lost : kDirections) {
    for (const bool is_from_owner : {false, true}) {
      for (const int cut_ms : kCutsMs) {
        SCOPED_TRACE(std::to_string(cut_ms) + " ms, lost " +
                     std::to_string(static_cast<int>(lost)) + ", from owner " +
                     std::to_string(is_from_owner));
        Begin();
        for (std::size_t n = 0; n < kInstances; ++n) {
          if (n != owner_) {
            is_from_owner ? Cut(owner_, AddressOf(n), lost) : Cut(n, AddressOf(owner_), lost);
          }
        }
        SubmitEverywhere();
        cluster_->RunFor(Milliseconds(cut_ms));
        for (std::size_t n = 0; n < kInstances; ++n) {
          Heal(n, AddressOf(owner_));
          Heal(owner_, AddressOf(n));
        }
        EXPECT_EQ(cluster_->OwnerIndex(), owner_);
        ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
      }
    }
  }
}

}  // namespace
}  // namespace clementineloom::entry
