#include <gtest/gtest.h>

#include <string>

#include "platform/platform_adapter.h"
#include "support/invalid_worker_entries.h"

namespace clementineloom::adapter {
namespace {

using testing_support::InvalidWorkerEntries;
using testing_support::InvalidWorkerEntry;
using testing_support::WorkerEntryWith;

class WorkerEntryTest : public testing::Test {
 protected:
  static bool IsAccepted(const std::string& key, const std::string& value) {
    return PlatformAdapter::ParseWorker({key, value}).has_value();
  }
};

// Guards against invalid entries that are used as workers: their numbers overflow sums and times,
// and their addresses cannot be connected to.
TEST_F(WorkerEntryTest, ParseWorker_OfEachInvalidEntry_Fails) {
  for (const InvalidWorkerEntry& it : InvalidWorkerEntries()) {
    EXPECT_FALSE(IsAccepted("w", it.value)) << it.what;
  }
}

// Guards against ids that corrupt the header, query or record in which they are written.
TEST_F(WorkerEntryTest, ParseWorker_WithInvalidKey_Fails) {
  const std::string entry = WorkerEntryWith("version", R"("v1")");
  EXPECT_TRUE(IsAccepted("i-7f3a91c2", entry));
  for (const std::string& key :
       {std::string(), std::string("w 1"), std::string("w\r\nX: y"), std::string("w\0", 2),
        std::string("w\x7f"), std::string("\xc3\xa4"), std::string("\xff"),
        std::string(256, 'w')}) {
    EXPECT_FALSE(IsAccepted(key, entry)) << testing::PrintToString(key);
  }
}

// Guards against limits that reject valid entries of the platform.
TEST_F(WorkerEntryTest, ParseWorker_OfTypicalEntries_Succeeds) {
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("address", R"("[fd00::9]:8080")")));
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("address", R"("10.0.1.9:65535")")));
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("coldRemainingMs", "1200.5")));
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("remainingMs", "-0")));
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("remainingMs", "250.5")));
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("slots", "8")));
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("clockMs", "482113")));
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("labels", "[]")));
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("capacity", R"({"cpu":16000,"memMb":32768})")));
  EXPECT_TRUE(IsAccepted("w", WorkerEntryWith("born", "1764918256000")));
}

// Guards against a negative remaining time of a draining worker that is past its end time.
TEST_F(WorkerEntryTest, ParseWorker_WithNegativeRemainingTime_ReturnsZero) {
  const auto worker = PlatformAdapter::ParseWorker({"w", WorkerEntryWith("remainingMs", "-1500")});
  ASSERT_TRUE(worker.has_value());
  EXPECT_EQ(worker->remaining_ms, 0);
}

}  // namespace
}  // namespace clementineloom::adapter
