#include "scheduler/append_duty.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/manual_clock.h"
#include "support/memory_log.h"

namespace clementineloom::scheduler {
namespace {

using std::chrono::milliseconds;
using testing_support::ManualClock;
using testing_support::MemoryLog;
using Fault = MemoryLog::Fault;

constexpr milliseconds kTimeout(2'000);

class AppendDutyTest : public testing::Test {
 protected:
  AppendDutyTest() { ManualClock::Reset(); }

  void Propose(const std::string& id) {
    const auto record = std::make_shared<const Record>(Record{id, JobStarted{JobId(1), 1}});
    duty_.Handle(Proposal{record, ManualClock::now() + kTimeout});
  }

  // Reports that the follower has read to the tail now and found the records of this process with
  // these ids.
  void ReadTail(std::vector<std::string> found) {
    duty_.Handle(LogProgress{std::move(found), ManualClock::now()});
  }

  void FlushAfter(milliseconds pause) {
    ManualClock::Advance(pause);
    duty_.Flush();
  }

  MemoryLog log_;
  metrics::MetricRegistry metrics_;
  std::vector<ProposalDropped> dropped_;
  AppendDuty<MemoryLog, ManualClock> duty_{log_,
                                           {},
                                           [this](ProposalDropped it) {
                                             dropped_.push_back(std::move(it));
                                             return true;
                                           },
                                           metrics_};
};

// Guards against one append per record, which would exceed the log's rate limit.
TEST_F(AppendDutyTest, Flush_WithSeveralProposals_MakesOneAppend) {
  Propose("a");
  Propose("b");
  duty_.Flush();
  EXPECT_EQ(log_.appends(), 1U);
  EXPECT_EQ(log_.payloads().size(), 2U);
  EXPECT_TRUE(duty_.is_idle());
}

// Guards against a second copy of a record whose append took effect without an answer.
TEST_F(AppendDutyTest, Flush_WhenAnswerIsLostAndRecordIsRead_DoesNotRepeat) {
  log_.SetAppendFault(Fault::kAnswerLost);
  Propose("a");
  duty_.Flush();
  log_.SetAppendFault(Fault::kNone);
  ManualClock::Advance(milliseconds(200));
  ReadTail({"a"});
  FlushAfter(milliseconds(200));
  EXPECT_EQ(log_.appends(), 1U);
  EXPECT_TRUE(duty_.is_idle());
}

// Guards against a lost record, or one repeated before the stream was read after the failure.
TEST_F(AppendDutyTest, Flush_WhenRequestIsLost_RepeatsUnderSameIdAfterReadingTheTail) {
  ReadTail({});
  log_.SetAppendFault(Fault::kRequestLost);
  Propose("a");
  duty_.Flush();
  log_.SetAppendFault(Fault::kNone);
  FlushAfter(milliseconds(200));
  EXPECT_EQ(log_.appends(), 1U) << "the outcome is not known yet";
  ReadTail({});
  FlushAfter(milliseconds(200));
  EXPECT_EQ(log_.appends(), 2U);
  ASSERT_EQ(log_.payloads().size(), 1U);
  EXPECT_NE(log_.payloads().front().find(R"("id":"a")"), std::string::npos);
}

// Guards against "did not run" for a record that may be in the stream.
TEST_F(AppendDutyTest, Flush_WhenUnknownProposalExpires_DropsItAsPossiblyRun) {
  log_.SetAppendFault(Fault::kRequestLost);
  Propose("a");
  duty_.Flush();
  FlushAfter(kTimeout);
  EXPECT_TRUE(dropped_.empty()) << "reading the stream may still resolve it";
  ReadTail({});
  FlushAfter(milliseconds(1));
  ASSERT_EQ(dropped_.size(), 1U);
  EXPECT_EQ(dropped_.front(), (ProposalDropped{"a", RunState::kMayHaveRun}));
}

// Guards against telling a caller that the outcome is unknown although nothing was appended.
TEST_F(AppendDutyTest, Flush_WhenRefusedProposalExpires_DropsItAsNotRun) {
  log_.SetAppendFault(Fault::kRefused);
  Propose("a");
  duty_.Flush();
  FlushAfter(kTimeout);
  ASSERT_EQ(dropped_.size(), 1U);
  EXPECT_EQ(dropped_.front(), (ProposalDropped{"a", RunState::kDidNotRun}));
  EXPECT_TRUE(log_.payloads().empty());
}

// Guards against a queue that grows without bound while the log is down.
TEST_F(AppendDutyTest, Handle_WhenQueueIsFull_RefusesAndCounts) {
  for (std::size_t n = 0; n <= AppendOptions().max_queue; ++n) {
    Propose(std::to_string(n));
  }
  EXPECT_EQ(dropped_.size(), 1U);
  EXPECT_NE(metrics_.Expose().find("loom_proposals_refused_total{reason=\"queue_full\"} 1"),
            std::string::npos);
}

}  // namespace
}  // namespace clementineloom::scheduler
