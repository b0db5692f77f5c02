#include "entry/store/read_size.h"

#include <gtest/gtest.h>

#include <cstdint>

namespace clementineloom::entry {
namespace {

class ReadSizeTest : public testing::Test {
 protected:
  static constexpr std::uint32_t kUsualKilobytes = 128;

  ReadSize size_{kUsualKilobytes};
};

// Guards against retries that are as large as the reads that timed out.
TEST_F(ReadSizeTest, OnNoAnswer_Repeated_ShrinksToTheSmallestSize) {
  size_.OnNoAnswer();
  EXPECT_EQ(size_.kilobytes(), kUsualKilobytes / 2);
  for (int n = 0; n < 20; ++n) {
    size_.OnNoAnswer();
  }
  EXPECT_EQ(size_.kilobytes(), ReadSize::kMinKilobytes);
}

// Guards against reads that stay small after the store has recovered.
TEST_F(ReadSizeTest, OnRecords_AfterTimeouts_ReturnsToTheUsualSize) {
  size_.OnNoAnswer();
  size_.OnNoAnswer();
  size_.OnRecords();
  EXPECT_EQ(size_.kilobytes(), kUsualKilobytes / 2);
  for (int n = 0; n < 20; ++n) {
    size_.OnRecords();
  }
  EXPECT_EQ(size_.kilobytes(), kUsualKilobytes);
}

// Guards against a record that is larger than the usual size and never read.
TEST_F(ReadSizeTest, OnRecordTooLarge_Repeated_GrowsToTheLargestSizeUntilItIsRead) {
  for (int n = 0; n < 20; ++n) {
    size_.OnRecordTooLarge();
  }
  EXPECT_EQ(size_.kilobytes(), ReadSize::kMaxKilobytes);
  size_.OnRecords();
  EXPECT_EQ(size_.kilobytes(), kUsualKilobytes);
}

}  // namespace
}  // namespace clementineloom::entry
