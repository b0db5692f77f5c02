#include "entry/owner/record_group.h"

#include <cstddef>
#include <utility>
#include <variant>

#include "codec/workload_record_codec.h"

namespace clementineloom::entry {
namespace {

// The store refuses a call that is too large, however often it is repeated. Several groups share a
// call.
constexpr std::size_t kMaxGroupBytes = 32'000;

// Whether two neighbouring records concern members of the same gang.
bool AreOfOneGang(const workload::WorkloadRecord& first, const workload::WorkloadRecord& second,
                  const workload::JobTable& jobs) {
  const auto* a = std::get_if<workload::TaskSet>(&first);
  const auto* b = std::get_if<workload::TaskSet>(&second);
  if (a == nullptr || b == nullptr || !a->record || !b->record || a->task.step != b->task.step) {
    return false;
  }
  const workload::StepSpec* spec = jobs.FindStep(a->task.step);
  return spec != nullptr && spec->is_gang;
}

}  // namespace

std::vector<RecordGroup> GroupRecords(const std::vector<workload::WorkloadRecord>& records,
                                      const workload::JobTable& jobs) {
  std::vector<RecordGroup> groups(1);
  std::size_t bytes = 0;
  const workload::WorkloadRecord* previous = nullptr;
  for (const workload::WorkloadRecord& it : records) {
    if (bytes >= kMaxGroupBytes && !AreOfOneGang(*previous, it, jobs)) {
      groups.emplace_back();
      bytes = 0;
    }
    workload::KeyedValue item = codec::EncodeWorkloadRecord(it);
    bytes += item.key.size() + item.value.size();
    groups.back().items.push_back(std::move(item));
    const auto* end = std::get_if<workload::JobEndSet>(&it);
    if (end != nullptr && end->state) {
      groups.back().ended_jobs.push_back(end->job);
    }
    previous = &it;
  }
  return groups;
}

}  // namespace clementineloom::entry
