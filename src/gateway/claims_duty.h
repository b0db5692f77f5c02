#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/routing/claim_table.h"
#include "gateway/caller_request.h"
#include "gateway/claim_appender.h"
#include "gateway/claim_ids.h"
#include "gateway/claim_responder.h"
#include "gateway/claims_event.h"
#include "gateway/claims_options.h"
#include "gateway/local_claim.h"
#include "gateway/local_claims.h"
#include "gateway/refused_claims.h"
#include "gateway/request_digest.h"
#include "gateway/responder.h"
#include "gateway/routing_event.h"
#include "metrics/metric_registry.h"
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
        options_(options),
        responder_(options_, responder),
        appender_(options_, metrics, log),
        ids_(options_),
        claims_(options_.backlog) {}
  ClaimsDuty(const ClaimsDuty&) = delete;
  ClaimsDuty& operator=(const ClaimsDuty&) = delete;

  /// @brief Handles events until the ring is closed and drained, then appends the queued records.
  /// Call once.
  void Run() {
    while (true) {
      auto event = NextEvent();
      now_ = Clock::now();
      if (event) {
        std::visit([this](auto& it) { this->Handle(std::move(it)); }, *event);
      }
      RefuseTimedOutClaims();
      if (!appender_.empty() && now_ >= appender_.DueAt()) {
        Append();
      }
      if (!event && events_.closed() && events_.size() == 0) {
        break;
      }
    }
    if (!appender_.empty()) {
      Append();
    }
  }

 private:
  using Clock = std::chrono::steady_clock;

  static constexpr std::chrono::milliseconds kDeadlineCheckInterval{100};
  static constexpr std::chrono::milliseconds kMinWait{1};

  std::optional<ClaimsEvent> NextEvent() {
    if (appender_.empty()) {
      return claims_.unconfirmed() == 0 ? events_.Pop() : events_.PopFor(kDeadlineCheckInterval);
    }
    const auto wait =
        std::chrono::ceil<std::chrono::milliseconds>(appender_.DueAt() - Clock::now());
    return events_.PopFor(std::max(wait, kMinWait));
  }

  // --- Requests.

  void Handle(CallerRequest request) {
    if (!is_caught_up_) {
      responder_.RefuseAsClaimUnavailable(request, "the claims stream has not been read yet");
      return;
    }
    ClaimKey key{request.team, std::string(request.request.headers.Find("Idempotency-Key"))};
    std::string digest = RequestDigest(request.request);
    if (LocalClaim* local = claims_.FindKey(key)) {
      HandleDuplicate(*local, std::move(request), digest);
    } else if (const ClaimEntry* entry = table_.Find(key)) {
      responder_.AnswerFromEntry(*entry, request, digest, now_);
    } else {
      QueueClaim(std::move(key), std::move(digest), std::move(request));
    }
  }

  // A duplicate at the same gateway, often from a caller that lost its connection.
  void HandleDuplicate(LocalClaim& local, CallerRequest request, const std::string& digest) {
    if (local.digest != digest) {
      responder_.RefuseReusedKey(request);
    } else if (local.outcome) {
      responder_.Answer(request, *local.outcome);
    } else if (local.duplicates.size() < options_.max_duplicates_per_claim) {
      local.duplicates.push_back(std::move(request));
    } else {
      responder_.RefuseAsOneTooMany(request);
    }
  }

  void QueueClaim(ClaimKey key, std::string digest, CallerRequest request) {
    const std::string id = ids_.NextClaim();
    if (claims_.unconfirmed() >= options_.backlog ||
        !appender_.AddClaim({id, key, digest, options_.instance}, now_)) {
      responder_.RefuseAsClaimUnavailable(request, "too many claims are waiting");
      return;
    }
    claims_.Add(id, {std::move(key),
                     std::move(digest),
                     now_ + options_.claim_timeout,
                     std::move(request),
                     {},
                     {}});
  }

  // --- Records of the claims stream.

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
    const LocalClaim* local = claims_.Find(body.id);
    if (local == nullptr) {
      if (is_first && ids_.IsOfThisProcess(body.id)) {
        // The request was refused before its claim was read back, so it did not run.
        appender_.AddRelease(ids_.NextEnd(), body.id, now_);
      }
      return;
    }
    if (!local->request) {
      return;  // The record was appended twice.
    }
    if (is_first) {
      RunClaimed(body.id);
    } else {
      RejectClaim(body.id, *entry);
    }
  }

  void RunClaimed(const std::string& claim) {
    CallerRequest request = claims_.Confirm(claim);
    request.claim = ClaimHandle{claim};
    (void)routing_.Push(ClaimedRequest{std::move(request)});
  }

  // Answers the requests of a claim that lost to an earlier one.
  void RejectClaim(const std::string& claim, const ClaimEntry& earlier) {
    const LocalClaim rejected = claims_.Remove(claim);
    responder_.AnswerFromEntry(earlier, *rejected.request, rejected.digest, now_);
    for (const CallerRequest& duplicate : rejected.duplicates) {
      responder_.AnswerFromEntry(earlier, duplicate, rejected.digest, now_);
    }
  }

  void OnApplied(const RequestCompleted& body) { claims_.RemoveEnded(body.claim); }
  void OnApplied(const RequestReleased& body) { claims_.RemoveEnded(body.claim); }

  // --- Ends of claims.

  void Handle(ClaimEnded ended) {
    const std::string& claim = ended.handle.claim;
    LocalClaim& local = *claims_.Find(claim);
    for (const CallerRequest& duplicate : local.duplicates) {
      responder_.Answer(duplicate, ended.outcome);
    }
    local.duplicates.clear();
    appender_.AddOutcome(ids_.NextEnd(), ended, now_);
    local.outcome.emplace(std::move(ended.outcome));
    claims_.NoteEnded(claim);
  }

  void Append() {
    const RefusedClaims refused = appender_.Append(now_);
    now_ = appender_.last_append();
    for (const std::string& it : refused.claims) {
      RefuseClaim(it, refused.detail);
    }
  }

  void RefuseTimedOutClaims() {
    if (claims_.unconfirmed() == 0 || now_ < next_deadline_check_) {
      return;
    }
    next_deadline_check_ = now_ + kDeadlineCheckInterval;
    for (const std::string& it : claims_.TimedOut(now_)) {
      RefuseClaim(it, "the claim was not read back in time");
    }
  }

  // Refuses the requests of a claim, unless it was read back or refused before.
  void RefuseClaim(const std::string& claim, const std::string& detail) {
    const LocalClaim* local = claims_.Find(claim);
    if (local == nullptr || !local->request) {
      return;
    }
    const LocalClaim refused = claims_.Remove(claim);
    responder_.RefuseAsClaimUnavailable(*refused.request, detail);
    for (const CallerRequest& duplicate : refused.duplicates) {
      responder_.RefuseAsClaimUnavailable(duplicate, detail);
    }
  }

  BoundedRing<ClaimsEvent>& events_;
  BoundedRing<RoutingEvent>& routing_;
  // The parts below refer to the options.
  const ClaimsOptions options_;
  ClaimResponder responder_;
  ClaimAppender<Client> appender_;
  ClaimIds ids_;
  LocalClaims claims_;
  ClaimTable table_;
  bool is_caught_up_ = false;
  MonotonicTime now_;
  MonotonicTime next_deadline_check_;
};

}  // namespace clementineloom::gateway
