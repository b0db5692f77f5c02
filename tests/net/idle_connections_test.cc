#include "net/detail/idle_connections.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

namespace clementineloom::net::detail {
namespace {

struct FakeConnection {
  int number = 0;
};

class IdleConnectionsTest : public testing::Test {
 protected:
  using Connections = IdleConnections<FakeConnection>;

  static constexpr std::size_t kMaxPerAddress = 2;
  static constexpr std::size_t kMaxInTotal = 4;

  void Add(const std::string& address, int number) {
    now_ += std::chrono::milliseconds(1);
    idle_.Add(address, std::make_unique<FakeConnection>(FakeConnection{number}), now_);
  }
  // Number of the newest connection of an address; 0 if there is none.
  int Take(const std::string& address) {
    const auto connection = idle_.TakeNewest(address, {});
    return connection == nullptr ? 0 : connection->number;
  }

  Connections::Clock::time_point now_;
  Connections idle_{kMaxPerAddress, kMaxInTotal};
};

TEST_F(IdleConnectionsTest, TakeNewest_OfAnAddress_ReturnsTheLastAdded) {
  Add("a", 1);
  Add("b", 2);
  Add("a", 3);
  EXPECT_EQ(Take("a"), 3);
  EXPECT_EQ(Take("a"), 1);
  EXPECT_EQ(Take("a"), 0);
  EXPECT_EQ(Take("b"), 2);
  EXPECT_TRUE(idle_.empty());
}

TEST_F(IdleConnectionsTest, TakeNewest_OfOneThatIsTooOld_ReturnsNone) {
  Add("a", 1);
  EXPECT_EQ(idle_.TakeNewest("a", now_ + std::chrono::milliseconds(1)), nullptr);
  EXPECT_EQ(idle_.size(), 1U);
}

TEST_F(IdleConnectionsTest, Add_BeyondTheLimitOfAnAddress_ClosesItsOldest) {
  Add("a", 1);
  Add("a", 2);
  Add("a", 3);
  EXPECT_EQ(idle_.size(), kMaxPerAddress);
  EXPECT_EQ(Take("a"), 3);
  EXPECT_EQ(Take("a"), 2);
}

// Guards against a process that talks to thousands of workers and runs out of file descriptors,
// because it keeps some idle connections to each of them.
TEST_F(IdleConnectionsTest, Add_ToMoreAddressesThanTheTotalLimit_ClosesTheOldestOfAll) {
  for (int n = 1; n <= 100; ++n) {
    Add("address-" + std::to_string(n), n);
    EXPECT_LE(idle_.size(), kMaxInTotal);
  }
  EXPECT_EQ(Take("address-96"), 0);
  EXPECT_EQ(Take("address-97"), 97);
  EXPECT_EQ(Take("address-100"), 100);
}

TEST_F(IdleConnectionsTest, Close_OfAnAddress_LeavesTheOthers) {
  Add("a", 1);
  Add("b", 2);
  Add("a", 3);
  idle_.Close("a");
  EXPECT_EQ(Take("a"), 0);
  EXPECT_EQ(Take("b"), 2);
}

TEST_F(IdleConnectionsTest, CloseOlderThan_ATime_LeavesTheNewer) {
  Add("a", 1);
  Add("b", 2);
  idle_.CloseOlderThan(now_);
  EXPECT_EQ(Take("a"), 0);
  EXPECT_EQ(Take("b"), 2);
}

TEST_F(IdleConnectionsTest, CloseOldest_OfMoreThanThereAre_ClosesAll) {
  Add("a", 1);
  Add("b", 2);
  idle_.CloseOldest(1);
  EXPECT_EQ(Take("a"), 0);
  EXPECT_EQ(idle_.size(), 1U);
  idle_.CloseOldest(5);
  EXPECT_TRUE(idle_.empty());
}

}  // namespace
}  // namespace clementineloom::net::detail
