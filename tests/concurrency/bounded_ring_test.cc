#include "clementineloom/concurrency/bounded_ring.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace clementineloom {
namespace {

class BoundedRingTest : public testing::Test {
 protected:
  BoundedRing<int> ring_{2};
};

// Guards against a full ring that grows or overwrites instead of refusing.
TEST_F(BoundedRingTest, TryPush_WhenFull_ReturnsFalse) {
  EXPECT_TRUE(ring_.TryPush(1));
  EXPECT_TRUE(ring_.TryPush(2));
  EXPECT_FALSE(ring_.TryPush(3));
  EXPECT_EQ(ring_.Pop(), 1);
  EXPECT_EQ(ring_.Pop(), 2);
}

// Guards against a refused value that its caller can neither count nor look at.
TEST_F(BoundedRingTest, TryPush_WhenFull_HandsTheValueToTheCallable) {
  int refused = 0;
  const auto keep = [&refused](int&& value) { refused = value; };
  EXPECT_TRUE(ring_.TryPush(1, keep));
  EXPECT_TRUE(ring_.TryPush(2, keep));
  EXPECT_EQ(refused, 0);
  EXPECT_FALSE(ring_.TryPush(3, keep));
  EXPECT_EQ(refused, 3);
}

// Guards against values lost at shutdown: what was accepted before Close has to be handled.
TEST_F(BoundedRingTest, Pop_AfterClose_DrainsThenReturnsNothing) {
  EXPECT_TRUE(ring_.TryPush(1));
  ring_.Close();
  EXPECT_FALSE(ring_.TryPush(2));
  EXPECT_EQ(ring_.Pop(), 1);
  EXPECT_EQ(ring_.Pop(), std::nullopt);
}

// Guards against a consumer that sleeps for ever when the ring is closed.
TEST_F(BoundedRingTest, Pop_WhenClosedWhileWaiting_Returns) {
  std::thread closer([this] { ring_.Close(); });
  EXPECT_EQ(ring_.Pop(), std::nullopt);
  closer.join();
}

// Guards against lost or reordered values between two threads.
TEST_F(BoundedRingTest, Push_FromOtherThread_KeepsOrderAndNumber) {
  constexpr int kValues = 10'000;
  std::thread producer([this] {
    for (int n = 0; n < kValues; ++n) {
      ASSERT_TRUE(ring_.Push(n));
    }
    ring_.Close();
  });
  int expected = 0;
  while (const auto value = ring_.Pop()) {
    ASSERT_EQ(*value, expected++);
  }
  producer.join();
  EXPECT_EQ(expected, kValues);
}

// Guards against a timed wait that never ends.
TEST_F(BoundedRingTest, PopFor_WhenEmpty_ReturnsNothing) {
  EXPECT_EQ(ring_.PopFor(std::chrono::milliseconds(1)), std::nullopt);
}

}  // namespace
}  // namespace clementineloom
