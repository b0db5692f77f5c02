#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/pool_worker.h"
#include "platform/entry_limits.h"
#include "platform/platform_adapter.h"
#include "support/invalid_worker_entries.h"

namespace clementineloom::adapter {
namespace {

using testing_support::WorkerEntryWith;

class WorkerEntryPropertyTest : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    // RapidCheck reads RC_PARAMS once, before the first property. A value already set is kept.
    constexpr int kKeepExisting = 0;
    (void)setenv("RC_PARAMS", "seed=20261205 max_success=3000", kKeepExisting);
  }

  // An entry with one member set to a value at a limit, out of range or of another type.
  static std::string MutatedEntry() {
    const auto member = *rc::gen::element<std::string>(
        "service", "address", "zone", "state", "capacity", "labels", "born", "remainingMs",
        "coldRemainingMs", "sequence", "slots", "version");
    const auto value = *rc::gen::element<std::string>(
        "null", "true", "-0", "-1", "1e308", "1e400", "-1e308", "0.5", "9223372036854775807",
        "-9223372036854775808", "18446744073709551615", "18446744073709551616", "[]", "{}", "\"\"",
        R"("10.0.0.1:65536")", R"("[::1]:1")", R"(["a"])", R"({"cpu":1e18,"memMb":1})",
        R"({"cpu":100000000,"memMb":1000000000,"gpus":1000000})", R"("\ud800")", "draining");
    return WorkerEntryWith(member, value);
  }

  // Replaces, erases or inserts bytes at random positions.
  static std::string Damage(std::string entry) {
    const auto changes = *rc::gen::inRange(0, 4);
    for (int n = 0; n < changes && !entry.empty(); ++n) {
      const auto at = *rc::gen::inRange<std::size_t>(0, entry.size());
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          entry[at] = static_cast<char>(*rc::gen::inRange(0, 256));
          break;
        case 1:
          entry.erase(at, *rc::gen::inRange<std::size_t>(0, 9));
          break;
        default:
          entry.insert(at, std::string(*rc::gen::inRange<std::size_t>(0, 40),
                                       *rc::gen::element('[', '{', '9', '"')));
          break;
      }
    }
    return entry;
  }

  static void CheckBounds(const workload::WorkerInfo& worker) {
    RC_ASSERT(!worker.id.empty() && worker.id.size() <= EntryLimits::kMaxIdBytes);
    RC_ASSERT(EntryLimits::kCpuMillicores.Contains(worker.capacity.cpu_millicores));
    RC_ASSERT(EntryLimits::kMemoryMb.Contains(worker.capacity.memory_mb));
    RC_ASSERT(EntryLimits::kAccelerators.Contains(worker.capacity.accelerators));
    RC_ASSERT(worker.remaining_ms >= 0 && EntryLimits::kRemainingMs.Contains(worker.remaining_ms));
    RC_ASSERT(EntryLimits::kUnixMs.Contains(worker.started_at_ms));
    RC_ASSERT(worker.labels.size() <= EntryLimits::kMaxLabels);
    RC_ASSERT(!worker.service.empty() && !worker.address.empty());
  }

  // Computes the sums and times that an owner computes; the sanitizer reports an overflow.
  static void CheckSumsAndTimes(const workload::WorkerInfo& worker) {
    constexpr int kWorkers = 100'000;
    workload::PoolWorker pooled;
    pooled.info = worker;
    RC_ASSERT(pooled.Free().cpu_millicores * kWorkers >= 0);
    RC_ASSERT(pooled.Free().memory_mb * kWorkers >= 0);
    const workload::SteadyTime now{std::chrono::hours(24 * 365)};
    RC_ASSERT(now + workload::Milliseconds(worker.remaining_ms) >= now);
  }
};

// Guards against entries that crash the reader or yield a worker whose numbers overflow later.
TEST_F(WorkerEntryPropertyTest, ParseWorker_OfMutatedEntries_StaysWithinLimits) {
  const bool holds = rc::check("a worker that is named keeps to the limits", [] {
    const auto key = *rc::gen::string<std::string>();
    const auto worker = PlatformAdapter::ParseWorker({key, Damage(MutatedEntry())});
    if (worker) {
      CheckBounds(*worker);
      CheckSumsAndTimes(*worker);
    }
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace clementineloom::adapter
