#include "scheduler/peer_duty.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/manual_clock.h"

namespace clementineloom::scheduler {
namespace {

using std::chrono::milliseconds;
using testing_support::ManualClock;

// Answers for one address and refuses for all others.
class FakePeers {
 public:
  Result<PeerFreshness> Ask(const std::string& address) {
    asked.push_back(address);
    if (address != "b:1") {
      return Refuse(ResultCode::kPeerUnavailable, address);
    }
    return PeerFreshness{LogOffset(5), ManualClock::now()};
  }

  std::vector<std::string> asked;
};

class PeerDutyTest : public testing::Test {
 protected:
  PeerDutyTest() {
    ManualClock::Reset();
    const std::vector<SchedulerPeer> peers{{"own", "own:1"}, {"a", "a:1"}, {"b", "b:1"}};
    duty_.Handle(std::make_shared<const MembershipView>(1, peers));
    ViewFreshness view;
    view.at_tail = ManualClock::now();
    duty_.Handle(view);
  }

  void TickAfter(milliseconds time) {
    ManualClock::Advance(time);
    duty_.Tick(ManualClock::now());
  }

  FakePeers source_;
  metrics::MetricRegistry metrics_;
  std::vector<PeerFreshness> received_;
  PeerDuty<FakePeers> duty_{"own", source_,
                            [this](PeerFreshness it) {
                              received_.push_back(it);
                              return true;
                            },
                            metrics_};
};

// Guards against needless traffic between schedulers while each can read the log itself.
TEST_F(PeerDutyTest, Tick_WithFreshView_QueriesNoPeer) {
  TickAfter(milliseconds(900));
  EXPECT_TRUE(source_.asked.empty());
}

// Guards against an unreachable peer that keeps the answers of the others from being used.
TEST_F(PeerDutyTest, Tick_WithOldView_QueriesAllPeersAndForwardsAnswers) {
  TickAfter(milliseconds(1'001));
  EXPECT_EQ(source_.asked, (std::vector<std::string>{"a:1", "b:1"}));
  ASSERT_EQ(received_.size(), 1U);
  EXPECT_EQ(received_.front().tail, LogOffset(5));
  TickAfter(milliseconds(100));
  EXPECT_EQ(source_.asked.size(), 2U) << "they were asked just before";
}

}  // namespace
}  // namespace clementineloom::scheduler
