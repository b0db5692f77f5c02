#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "scheduler/append_duty.h"
#include "support/manual_clock.h"
#include "support/memory_log.h"

namespace clementineloom::scheduler {
namespace {

using std::chrono::milliseconds;
using testing_support::ManualClock;
using testing_support::MemoryLog;

// The decision duty's ring has room for one event and is emptied by the test.
class DroppedProposalTest : public testing::Test {
 protected:
  static constexpr milliseconds kTimeout{2'000};

  DroppedProposalTest() {
    ManualClock::Reset();
    log_.SetAppendFault(MemoryLog::Fault::kRefused);
  }

  void Propose(const std::string& id) {
    const auto record = std::make_shared<const Record>(Record{id, JobStarted{JobId(1), 1}});
    duty_.Handle(Proposal{record, ManualClock::now() + kTimeout});
  }

  void FlushAfter(milliseconds pause) {
    ManualClock::Advance(pause);
    duty_.Flush();
  }

  MemoryLog log_;
  metrics::MetricRegistry metrics_;
  BoundedRing<ProposalDropped> decisions_{1};
  AppendDuty<MemoryLog, ManualClock> duty_{
      log_, {}, [this](ProposalDropped it) { return decisions_.TryPush(std::move(it)); }, metrics_};
};

// Guards against a caller that is told "may have run" at its deadline, because the answer to its
// proposal was lost while the decision ring was full.
TEST_F(DroppedProposalTest, Flush_WhileDecisionRingIsFull_DeliversDropLater) {
  Propose("a");
  Propose("b");
  FlushAfter(kTimeout);
  EXPECT_EQ(decisions_.TryPop(), (ProposalDropped{"a", RunState::kDidNotRun}));
  EXPECT_FALSE(duty_.is_idle());
  FlushAfter(milliseconds(1));
  EXPECT_EQ(decisions_.TryPop(), (ProposalDropped{"b", RunState::kDidNotRun}));
  FlushAfter(milliseconds(1));
  EXPECT_TRUE(duty_.is_idle());
  EXPECT_FALSE(decisions_.TryPop());
}

// Guards against the same loss for proposals that find the append queue full.
TEST_F(DroppedProposalTest, Handle_WhenBothQueuesAreFull_DeliversDropsInOrder) {
  const std::size_t max_queue = AppendOptions().max_queue;
  for (std::size_t n = 0; n < max_queue; ++n) {
    Propose(std::to_string(n));
  }
  for (const char* id : {"x", "y", "z"}) {
    Propose(id);
  }
  for (const char* id : {"x", "y", "z"}) {
    EXPECT_EQ(decisions_.TryPop(), (ProposalDropped{id, RunState::kDidNotRun}));
    FlushAfter(milliseconds(1));
  }
}

}  // namespace
}  // namespace clementineloom::scheduler
