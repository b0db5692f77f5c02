#include "fakes/stream_store.h"

namespace clementineloom::fakes {

LogOffset StreamStore::Append(const std::vector<std::string>& payloads) {
  const LogOffset first(tail().value() + 1);
  payloads_.insert(payloads_.end(), payloads.begin(), payloads.end());
  return first;
}

platform::ReadBatch StreamStore::Read(LogOffset from, std::size_t limit) const {
  platform::ReadBatch batch{{}, tail(), oldest()};
  for (std::uint64_t n = from.value(); n <= tail().value() && batch.records.size() < limit; ++n) {
    batch.records.push_back({LogOffset(n), payloads_[n - oldest_]});
  }
  return batch;
}

void StreamStore::ExpireBelow(LogOffset offset) {
  while (!payloads_.empty() && oldest_ < offset.value()) {
    payloads_.pop_front();
    ++oldest_;
  }
}

}  // namespace clementineloom::fakes
