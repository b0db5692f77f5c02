#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/stop_signal.h"
#include "clementineloom/errors/result_code_table.h"
#include "codec/claim_codec.h"
#include "gateway/claims_event.h"
#include "gateway/daemon_health.h"
#include "gateway/metric_names.h"
#include "gateway/stream_follower.h"
#include "gateway/streams.h"
#include "logging/event_log.h"
#include "metrics/metric_registry.h"

namespace clementineloom::gateway {

/// @brief Reads the claims stream and forwards its records to the claims duty.
///
/// Claims beyond the retention time of the log are skipped: a duplicate that arrives later than
/// that is treated as a new request. Thread safety: Run is called on the duty's thread.
template <platform::LogClient Client>
class ClaimsFollowerDuty {
 public:
  /// Precondition: the references outlive the duty.
  ClaimsFollowerDuty(Client& log, BoundedRing<ClaimsEvent>& claims, DaemonHealth& health,
                     metrics::MetricRegistry& metrics, StopSignal& stop)
      : follower_(log, std::string(kClaimsStream)),
        claims_(claims),
        health_(health),
        metrics_(metrics),
        stop_(stop) {}

  /// @brief Follows the stream until the stop signal.
  void Run() {
    while (!stop_.stopped()) {
      const auto refusal = RefusalOf([&]() -> Result<void> {
        BOOST_LEAF_AUTO(batch, follower_.Next());
        Forward(batch);
        return {};
      });
      if (refusal) {
        HandleFailedRead(*refusal);
      }
    }
  }

 private:
  static constexpr std::chrono::milliseconds kRetryDelay{100};

  void Forward(const StreamBatch& batch) {
    ClaimsRead read{{}, batch.is_at_tail};
    for (const platform::StoredRecord& it : batch.records) {
      Decode(it, read);
    }
    if (!read.records.empty() || (batch.is_at_tail && !health_.are_claims_caught_up)) {
      (void)claims_.Push(std::move(read));
    }
    if (batch.is_at_tail) {
      health_.are_claims_caught_up = true;
    }
  }

  void Decode(const platform::StoredRecord& stored, ClaimsRead& read) {
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(record, codec::DecodeClaimRecord(stored.payload));
      read.records.push_back(std::move(record));
      return {};
    });
    if (refusal) {
      metrics_.Count(kRecordsSkipped, "reason", ResultCodeName(refusal->code));
    }
  }

  void HandleFailedRead(const Refusal& refusal) {
    metrics_.Count(kReadFailures, "stream", kClaimsStream);
    if (refusal.code == ResultCode::kRecordsExpired) {
      logging::LogEvent(logging::LogLevel::kInfo, "claims_expired",
                        {{"next", follower_.next().value()}});
      if (!RefusalOf([&] { return follower_.SkipToOldest(); })) {
        return;
      }
    }
    (void)stop_.WaitFor(kRetryDelay);
  }

  StreamFollower<Client> follower_;
  BoundedRing<ClaimsEvent>& claims_;
  DaemonHealth& health_;
  metrics::MetricRegistry& metrics_;
  StopSignal& stop_;
};

}  // namespace clementineloom::gateway
