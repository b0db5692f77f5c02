#include "entry/jobs/decode_job_record.h"

#include <utility>

#include "clementineloom/errors/result.h"
#include "codec/workload_record_codec.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

std::optional<workload::WorkloadRecord> DecodeJobRecord(const workload::KeyedValue& item) {
  return CatchRefusal(
      [&item]() -> Result<std::optional<workload::WorkloadRecord>> {
        BOOST_LEAF_AUTO(decoded, codec::DecodeWorkloadRecord(item));
        return std::optional(std::move(decoded));
      },
      [](const Refusal& refusal) {
        logging::LogEvent(logging::LogLevel::kError, "record_ignored",
                          {{"code", static_cast<int>(refusal.code)}, {"detail", refusal.detail}});
        return std::optional<workload::WorkloadRecord>();
      });
}

}  // namespace clementineloom::entry
