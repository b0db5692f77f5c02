#include <algorithm>
#include <string_view>

#include "clementineloom/errors/result.h"
#include "clementineloom/state/cluster_state.h"
#include "codec/record_codec.h"
#include "fuzz_target.h"

namespace {

// Checks that no worker has more free accelerators than it owns and that every active job has an
// allocation for each worker of its gang.
void CheckInvariants(const clementineloom::ClusterState& state) {
  for (const auto& it : state.workers()) {
    if (it.free_accelerators > it.accelerators) {
      __builtin_trap();
    }
  }
  for (const auto id : state.active_jobs()) {
    const auto* job = state.FindJob(id);
    if (job == nullptr || job->allocations.size() != job->spec->shape().workers()) {
      __builtin_trap();
    }
  }
}

}  // namespace

// Applies the lines of the input as the records of a stream; undecodable lines are skipped.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using clementineloom::Result;
  std::string_view text(reinterpret_cast<const char*>(data), size);
  clementineloom::ClusterState state;
  std::uint64_t offset = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    ++offset;
    (void)clementineloom::RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(record, clementineloom::codec::DecodeRecord(line));
      (void)state.Apply(clementineloom::LogOffset(offset), record);
      return {};
    });
    CheckInvariants(state);
  }
  return 0;
}
