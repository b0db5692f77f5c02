#include <gtest/gtest.h>

#include <string>

#include "platform/users_platform.h"
#include "support/invalid_worker_entries.h"

namespace clementineloom::adapter {
namespace {

using testing_support::InvalidWorkerEntries;
using testing_support::InvalidWorkerEntry;
using testing_support::WorkerEntryWith;

class WorkerEntryTest : public testing::Test {
 protected:
  static bool NamesAWorker(const std::string& key, const std::string& value) {
    return UsersPlatform::ParseWorker({key, value}).has_value();
  }
};

// Guards against an entry of another writer that is used as a worker's: numbers that overflow sums
// and times, and addresses that no connection can be made to.
TEST_F(WorkerEntryTest, ParseWorker_OfEachOddEntry_NamesNoWorker) {
  for (const InvalidWorkerEntry& it : InvalidWorkerEntries()) {
    EXPECT_FALSE(NamesAWorker("w", it.value)) << it.what;
  }
}

// Guards against ids that break a header, a query or a record in which they are written.
TEST_F(WorkerEntryTest, ParseWorker_UnderAnOddKey_NamesNoWorker) {
  const std::string entry = WorkerEntryWith("version", R"("v1")");
  EXPECT_TRUE(NamesAWorker("i-7f3a91c2", entry));
  for (const std::string& key :
       {std::string(), std::string("w 1"), std::string("w\r\nX: y"), std::string("w\0", 2),
        std::string("w\x7f"), std::string("\xc3\xa4"), std::string("\xff"),
        std::string(256, 'w')}) {
    EXPECT_FALSE(NamesAWorker(key, entry)) << testing::PrintToString(key);
  }
}

// Guards against bounds that leave out workers as the platform describes them.
TEST_F(WorkerEntryTest, ParseWorker_OfUsualEntries_NamesTheWorker) {
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("address", R"("[fd00::9]:8080")")));
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("address", R"("10.0.1.9:65535")")));
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("coldRemainingMs", "1200.5")));
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("remainingMs", "-0")));
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("remainingMs", "250.5")));
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("slots", "8")));
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("clockMs", "482113")));
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("labels", "[]")));
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("capacity", R"({"cpu":16000,"memMb":32768})")));
  EXPECT_TRUE(NamesAWorker("w", WorkerEntryWith("born", "1764918256000")));
}

// Guards against a draining worker's time that lies before now.
TEST_F(WorkerEntryTest, ParseWorker_OfAWorkerThatIsOverdue_HasNoTimeLeft) {
  const auto worker = UsersPlatform::ParseWorker({"w", WorkerEntryWith("remainingMs", "-1500")});
  ASSERT_TRUE(worker.has_value());
  EXPECT_EQ(worker->remaining_ms, 0);
}

}  // namespace
}  // namespace clementineloom::adapter
