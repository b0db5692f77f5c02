#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/routing/claim_record.h"
#include "clementineloom/routing/monotonic_time.h"
#include "codec/claim_codec.h"
#include "gateway/claim_append.h"
#include "gateway/claim_batch.h"
#include "gateway/claim_ended.h"
#include "gateway/claim_ids.h"
#include "gateway/claims_options.h"
#include "gateway/metric_names.h"
#include "gateway/refused_claims.h"
#include "gateway/stored_answer_of.h"
#include "gateway/streams.h"
#include "metrics/metric_registry.h"
#include "platform/log_client.h"

namespace clementineloom::gateway {

/// @brief Queues records for the claims stream and appends them in batches.
///
/// A record that ends a claim is appended again if an append fails; it is dropped and counted if
/// the queue is full. Thread safety: none; one thread owns the appender, and Append blocks it.
template <platform::LogClient Client>
class ClaimAppender {
 public:
  /// Precondition: the references outlive the appender.
  ClaimAppender(const ClaimsOptions& options, metrics::MetricRegistry& metrics, Client& log)
      : options_(options), metrics_(metrics), log_(log), batch_(options.backlog) {}

  /// @brief Queues a claim. @return false if the queue is full.
  [[nodiscard]] bool AddClaim(const RequestClaimed& record, MonotonicTime now) {
    return batch_.Add({codec::EncodeClaimRecord(record.id, record), record.id}, now);
  }

  /// @brief Queues the release of a claim whose request did not run.
  /// @param id of the new record
  void AddRelease(const std::string& id, const std::string& claim, MonotonicTime now) {
    AddEnd(id, RequestReleased{claim}, now);
  }

  /// @brief Queues the outcome of a claim.
  /// @param id of the new record
  void AddOutcome(const std::string& id, const ClaimEnded& ended, MonotonicTime now) {
    const std::string& claim = ended.handle.claim;
    if (const auto* response = std::get_if<net::HttpResponse>(&ended.outcome)) {
      AddEnd(id, RequestCompleted{claim, RunState::kRan, StoredAnswerOf(*response)}, now);
      return;
    }
    const auto& refusal = std::get<Refusal>(ended.outcome);
    if (refusal.run_state == RunState::kDidNotRun) {
      AddRelease(id, claim, now);
    } else {
      AddEnd(id, RequestCompleted{claim, refusal.run_state, std::nullopt}, now);
    }
  }

  /// @brief Whether no record is queued.
  [[nodiscard]] bool empty() const { return batch_.empty(); }

  /// @brief When the next append is due. Precondition: not empty.
  [[nodiscard]] MonotonicTime DueAt() const {
    return std::max(batch_.oldest() + options_.batch_time, last_append_ + options_.append_interval);
  }

  /// @brief When the last append ended.
  [[nodiscard]] MonotonicTime last_append() const { return last_append_; }

  /// @brief Appends the oldest queued records, and waits for the log. Precondition: not empty.
  /// @return the claims that were certainly not appended. If an append may have taken effect,
  /// reading the stream resolves its claims.
  [[nodiscard]] RefusedClaims Append(MonotonicTime now) {
    const std::vector<ClaimAppend> appends = batch_.Take(now);
    std::vector<std::string> payloads;
    payloads.reserve(appends.size());
    for (const ClaimAppend& it : appends) {
      payloads.push_back(it.payload);
    }
    const auto refusal = RefusalOf([&] { return log_.Append(kClaimsStream, payloads); });
    last_append_ = std::chrono::steady_clock::now();
    if (!refusal) {
      return {};
    }
    AddEndsAgain(appends);
    return refusal->run_state == RunState::kDidNotRun
               ? RefusedClaims{ClaimsIn(appends), refusal->detail}
               : RefusedClaims{};
  }

 private:
  static std::vector<std::string> ClaimsIn(const std::vector<ClaimAppend>& appends) {
    std::vector<std::string> claims;
    for (const ClaimAppend& it : appends) {
      if (!it.claim.empty()) {
        claims.push_back(it.claim);
      }
    }
    return claims;
  }

  void AddEnd(const std::string& id, const ClaimRecord& record, MonotonicTime now) {
    AddEnd({codec::EncodeClaimRecord(id, record), {}}, now);
  }

  void AddEnd(ClaimAppend append, MonotonicTime now) {
    if (!batch_.Add(std::move(append), now)) {
      metrics_.Count(kClaimRecordsLost);
    }
  }

  void AddEndsAgain(const std::vector<ClaimAppend>& appends) {
    for (const ClaimAppend& it : appends) {
      if (it.claim.empty()) {
        AddEnd(it, last_append_);
      }
    }
  }

  const ClaimsOptions& options_;
  metrics::MetricRegistry& metrics_;
  Client& log_;
  ClaimBatch batch_;
  MonotonicTime last_append_;
};

}  // namespace clementineloom::gateway
