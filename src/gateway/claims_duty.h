#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/routing/claim_table.h"
#include "codec/claim_codec.h"
#include "gateway/caller_request.h"
#include "gateway/claim_batch.h"
#include "gateway/claims_event.h"
#include "gateway/claims_options.h"
#include "gateway/local_claim.h"
#include "gateway/metric_names.h"
#include "gateway/request_digest.h"
#include "gateway/responder.h"
#include "gateway/routing_event.h"
#include "gateway/stored_answer_of.h"
#include "gateway/streams.h"
#include "platform/log_client.h"

namespace clementineloom::gateway {

/// @brief Ensures that a request with an idempotency key runs at most once across all gateways.
///
/// A claim is appended to the claims stream and read back; only the first claim of a key in log
/// order lets its request run. A request whose claim is not read back in time is refused and never
/// runs, even if the claim appears later; that claim is then released.
///
/// Thread safety: Run is called on the duty's thread; all input reaches it through the ring.
template <platform::LogClient Client>
class ClaimsDuty {
 public:
  /// Precondition: the references outlive the duty.
  ClaimsDuty(BoundedRing<ClaimsEvent>& events, BoundedRing<RoutingEvent>& routing,
             Responder responder, metrics::MetricRegistry& metrics, const ClaimsOptions& options,
             Client& log)
      : events_(events),
        routing_(routing),
        responder_(responder),
        metrics_(metrics),
        options_(options),
        log_(log),
        batch_(options.backlog) {}

  /// @brief Handles events until the ring is closed and drained, then appends the queued records.
  void Run() {
    while (true) {
      auto event = NextEvent();
      now_ = Clock::now();
      if (event) {
        std::visit([this](auto& it) { this->Handle(std::move(it)); }, *event);
      }
      RefuseTimedOutClaims();
      if (IsAppendDue()) {
        Append();
      }
      if (!event && events_.closed() && events_.size() == 0) {
        break;
      }
    }
    Append();
  }

 private:
  using Clock = std::chrono::steady_clock;

  static constexpr std::chrono::milliseconds kDeadlineCheckInterval{100};
  static constexpr std::chrono::milliseconds kMinWait{1};

  std::optional<ClaimsEvent> NextEvent() {
    if (batch_.empty()) {
      return unconfirmed_claims_ == 0 ? events_.Pop() : events_.PopFor(kDeadlineCheckInterval);
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(AppendTime() - Clock::now());
    return events_.PopFor(std::max(wait, kMinWait));
  }

  [[nodiscard]] MonotonicTime AppendTime() const {
    return std::max(batch_.oldest() + options_.batch_time, last_append_ + options_.append_interval);
  }

  [[nodiscard]] bool IsAppendDue() const { return !batch_.empty() && now_ >= AppendTime(); }

  void Handle(CallerRequest request) {
    if (!is_caught_up_) {
      RefuseAsClaimUnavailable(request, "the claims stream has not been read yet");
      return;
    }
    ClaimKey key{request.team, std::string(request.request.headers.Find("Idempotency-Key"))};
    std::string digest = RequestDigest(request.request);
    if (LocalClaim* local = FindLocal(key)) {
      HandleDuplicate(*local, std::move(request), digest);
    } else if (const ClaimEntry* entry = table_.Find(key)) {
      AnswerFromEntry(*entry, request, digest);
    } else {
      QueueClaim(std::move(key), std::move(digest), std::move(request));
    }
  }

  LocalClaim* FindLocal(const ClaimKey& key) {
    const auto it = local_keys_.find(key);
    return it == local_keys_.end() ? nullptr : &local_claims_.find(it->second)->second;
  }

  // A duplicate at the same gateway, often from a caller that lost its connection.
  void HandleDuplicate(LocalClaim& local, CallerRequest request, const std::string& digest) {
    if (local.digest != digest) {
      RefuseReusedKey(request);
    } else if (local.outcome) {
      Answer(request, *local.outcome);
    } else if (local.duplicates.size() < options_.max_duplicates_per_claim) {
      local.duplicates.push_back(std::move(request));
    } else {
      responder_.Refuse(request, {ResultCode::kInProgressElsewhere, RunState::kMayHaveRun,
                                  "too many duplicates of this key are waiting"});
    }
  }

  void AnswerFromEntry(const ClaimEntry& entry, const CallerRequest& request,
                       const std::string& digest) {
    if (entry.digest != digest) {
      RefuseReusedKey(request);
    } else if (entry.answer) {
      responder_.Answer(request, ResponseOf(*entry.answer));
    } else {
      responder_.Refuse(request, RefusalFor(entry));
    }
  }

  [[nodiscard]] Refusal RefusalFor(const ClaimEntry& entry) const {
    if (entry.run_state) {
      return {ResultCode::kOutcomeUnknown, *entry.run_state, "the first response was not stored"};
    }
    // Claims of this process are in local_claims_, so an earlier process of the instance made this.
    const bool is_orphaned = entry.gateway == options_.instance;
    if (is_orphaned || now_ - entry.seen_at > options_.run_limit) {
      return {ResultCode::kOutcomeUnknown, RunState::kMayHaveRun,
              "gateway " + entry.gateway + " did not report the outcome"};
    }
    return {ResultCode::kInProgressElsewhere, RunState::kMayHaveRun,
            "claimed by gateway " + entry.gateway};
  }

  void RefuseReusedKey(const CallerRequest& request) {
    responder_.Refuse(request, {ResultCode::kKeyReused, RunState::kDidNotRun,
                                "the key was used with another method, target or body"});
  }

  void RefuseAsClaimUnavailable(const CallerRequest& request, const std::string& detail) {
    responder_.Refuse(request, {ResultCode::kClaimUnavailable, RunState::kDidNotRun, detail});
  }

  void QueueClaim(ClaimKey key, std::string digest, CallerRequest request) {
    const std::string id =
        options_.instance + "/" + options_.process + "/" + std::to_string(++last_claim_);
    const RequestClaimed record{id, key, digest, options_.instance};
    if (unconfirmed_claims_ >= options_.backlog ||
        !batch_.Add({codec::EncodeClaimRecord(id, record), id}, now_)) {
      RefuseAsClaimUnavailable(request, "too many claims are waiting");
      return;
    }
    local_keys_.emplace(key, id);
    local_claims_.emplace(id, LocalClaim{std::move(key),
                                         std::move(digest),
                                         now_ + options_.claim_timeout,
                                         std::move(request),
                                         {},
                                         {}});
    ++unconfirmed_claims_;
  }

  void Handle(const ClaimsRead& read) {
    for (const ClaimRecord& it : read.records) {
      table_.Apply(it, now_);
      std::visit([this](const auto& body) { this->OnApplied(body); }, it);
    }
    is_caught_up_ = is_caught_up_ || read.is_at_tail;
  }

  void OnApplied(const RequestClaimed& body) {
    const ClaimEntry* entry = table_.Find(body.key);
    const bool is_first = entry != nullptr && entry->claim == body.id;
    const auto it = local_claims_.find(body.id);
    if (it == local_claims_.end()) {
      if (is_first && IsOfThisProcess(body.id)) {
        // The request was refused before its claim was read back, so it did not run.
        QueueRelease(body.id);
      }
      return;
    }
    if (!it->second.request) {
      return;  // The record was appended twice.
    }
    if (is_first) {
      --unconfirmed_claims_;
      CallerRequest request = std::move(*it->second.request);
      it->second.request.reset();
      request.claim = ClaimHandle{body.id};
      (void)routing_.Push(ClaimedRequest{std::move(request)});
      return;
    }
    LocalClaim rejected = Remove(it);
    AnswerFromEntry(*entry, *rejected.request, rejected.digest);
    for (const CallerRequest& duplicate : rejected.duplicates) {
      AnswerFromEntry(*entry, duplicate, rejected.digest);
    }
  }

  void OnApplied(const RequestCompleted& body) { RemoveEnded(body.claim); }
  void OnApplied(const RequestReleased& body) { RemoveEnded(body.claim); }

  void RemoveEnded(const std::string& claim) {
    const auto it = local_claims_.find(claim);
    if (it != local_claims_.end() && it->second.outcome) {
      (void)Remove(it);
    }
  }

  [[nodiscard]] bool IsOfThisProcess(const std::string& claim) const {
    return claim.starts_with(options_.instance + "/" + options_.process + "/");
  }

  void Handle(ClaimEnded ended) {
    const auto it = local_claims_.find(ended.handle.claim);
    for (const CallerRequest& duplicate : it->second.duplicates) {
      Answer(duplicate, ended.outcome);
    }
    it->second.duplicates.clear();
    RecordOutcome(ended);
    it->second.outcome.emplace(std::move(ended.outcome));
    LimitEndedClaims(it->first);
  }

  // Outcomes of ended claims are normally read back within milliseconds; while the log is down they
  // accumulate up to the backlog.
  void LimitEndedClaims(const std::string& claim) {
    ended_claims_.push_back(claim);
    while (ended_claims_.size() > options_.backlog) {
      RemoveEnded(ended_claims_.front());
      ended_claims_.pop_front();
    }
  }

  void RecordOutcome(const ClaimEnded& ended) {
    const std::string& claim = ended.handle.claim;
    if (const auto* response = std::get_if<net::HttpResponse>(&ended.outcome)) {
      QueueRecord(RequestCompleted{claim, RunState::kRan, StoredAnswerOf(*response)});
      return;
    }
    const auto& refusal = std::get<Refusal>(ended.outcome);
    if (refusal.run_state == RunState::kDidNotRun) {
      QueueRelease(claim);
    } else {
      QueueRecord(RequestCompleted{claim, refusal.run_state, std::nullopt});
    }
  }

  void QueueRelease(const std::string& claim) { QueueRecord(RequestReleased{claim}); }

  void QueueRecord(const ClaimRecord& record) {
    const std::string id =
        options_.instance + "/" + options_.process + "/end-" + std::to_string(++last_end_);
    if (!batch_.Add({codec::EncodeClaimRecord(id, record), {}}, now_)) {
      metrics_.Count(kClaimRecordsLost);
    }
  }

  void Answer(const CallerRequest& request,
              const std::variant<net::HttpResponse, Refusal>& outcome) {
    if (const auto* response = std::get_if<net::HttpResponse>(&outcome)) {
      responder_.Answer(request, *response);
    } else {
      responder_.Refuse(request, std::get<Refusal>(outcome));
    }
  }

  void Append() {
    const std::vector<ClaimAppend> appends = batch_.Take(now_);
    if (appends.empty()) {
      return;
    }
    std::vector<std::string> payloads;
    payloads.reserve(appends.size());
    for (const ClaimAppend& it : appends) {
      payloads.push_back(it.payload);
    }
    const auto refusal = RefusalOf([&] { return log_.Append(kClaimsStream, payloads); });
    now_ = Clock::now();
    last_append_ = now_;
    if (refusal) {
      HandleFailedAppend(appends, *refusal);
    }
  }

  void HandleFailedAppend(const std::vector<ClaimAppend>& appends, const Refusal& refusal) {
    const bool is_unknown = refusal.run_state != RunState::kDidNotRun;
    for (const ClaimAppend& it : appends) {
      if (!it.claim.empty()) {
        // If the append may have taken effect, reading the stream resolves the claim.
        if (!is_unknown) {
          RefuseClaim(it.claim, refusal.detail);
        }
      } else if (!batch_.Add(it, now_)) {
        metrics_.Count(kClaimRecordsLost);
      }
    }
  }

  void RefuseClaim(const std::string& claim, const std::string& detail) {
    const auto it = local_claims_.find(claim);
    if (it == local_claims_.end() || !it->second.request) {
      return;
    }
    const LocalClaim refused = Remove(it);
    RefuseAsClaimUnavailable(*refused.request, detail);
    for (const CallerRequest& duplicate : refused.duplicates) {
      RefuseAsClaimUnavailable(duplicate, detail);
    }
  }

  void RefuseTimedOutClaims() {
    if (unconfirmed_claims_ == 0 || now_ < next_deadline_check_) {
      return;
    }
    next_deadline_check_ = now_ + kDeadlineCheckInterval;
    std::vector<std::string> timed_out;
    for (const auto& [id, claim] : local_claims_) {
      if (claim.request && claim.deadline <= now_) {
        timed_out.push_back(id);
      }
    }
    for (const std::string& it : timed_out) {
      RefuseClaim(it, "the claim was not read back in time");
    }
  }

  LocalClaim Remove(std::map<std::string, LocalClaim>::iterator it) {
    LocalClaim claim = std::move(it->second);
    local_claims_.erase(it);
    local_keys_.erase(claim.key);
    unconfirmed_claims_ -= claim.request ? 1 : 0;
    return claim;
  }

  BoundedRing<ClaimsEvent>& events_;
  BoundedRing<RoutingEvent>& routing_;
  Responder responder_;
  metrics::MetricRegistry& metrics_;
  const ClaimsOptions options_;
  Client& log_;

  ClaimTable table_;
  ClaimBatch batch_;
  std::map<std::string, LocalClaim> local_claims_;
  std::map<ClaimKey, std::string> local_keys_;
  // Ended claims, oldest first; some may have been removed from local_claims_ since.
  std::deque<std::string> ended_claims_;
  // Number of local claims that have not been read back yet.
  std::size_t unconfirmed_claims_ = 0;
  bool is_caught_up_ = false;
  std::uint64_t last_claim_ = 0;
  std::uint64_t last_end_ = 0;
  MonotonicTime now_;
  MonotonicTime last_append_;
  MonotonicTime next_deadline_check_;
};

}  // namespace clementineloom::gateway
