#include "clementineloom/membership/membership_view.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace clementineloom {
namespace {

class MembershipViewTest : public testing::Test {
 protected:
  static constexpr std::size_t kSchedulers = 9;

  static MembershipView MakeView() {
    std::vector<SchedulerPeer> peers;
    for (std::size_t n = 0; n < kSchedulers; ++n) {
      peers.push_back({"entry-" + std::to_string(n), "127.0.0.1:1"});
    }
    return {1, peers};
  }

  const MembershipView view_ = MakeView();
};

// Guards against two schedulers with the same rank, which would propose at the same time.
TEST_F(MembershipViewTest, RankOf_AllListed_GivesEachRankOnce) {
  for (std::uint64_t subject = 0; subject < 100; ++subject) {
    std::set<std::size_t> ranks;
    for (const SchedulerPeer& it : view_.schedulers()) {
      ranks.insert(view_.RankOf(it.instance, subject));
    }
    EXPECT_EQ(ranks.size(), kSchedulers);
    EXPECT_EQ(*ranks.rbegin(), kSchedulers - 1);
  }
}

// Guards against a hash that prefers one scheduler for most subjects.
TEST_F(MembershipViewTest, RankOf_ManySubjects_DistributesRankZeroEvenly) {
  constexpr std::uint64_t kSubjects = 9'000;
  for (const SchedulerPeer& it : view_.schedulers()) {
    std::size_t preferred = 0;
    for (std::uint64_t subject = 0; subject < kSubjects; ++subject) {
      preferred += view_.RankOf(it.instance, subject) == 0 ? 1 : 0;
    }
    EXPECT_GT(preferred, kSubjects / kSchedulers / 2) << it.instance;
    EXPECT_LT(preferred, kSubjects / kSchedulers * 2) << it.instance;
  }
}

// Guards against an instance that never proposes because it is not listed yet.
TEST_F(MembershipViewTest, RankOf_WithEmptyList_IsZero) {
  EXPECT_EQ(MembershipView().RankOf("entry-0", 7), 0U);
}

}  // namespace
}  // namespace clementineloom
