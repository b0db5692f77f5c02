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

/// @brief Lets a request with an idempotency key run only once over all gateways.
///
/// The claim is appended to the claims stream and read back; only the first claim of a key in the
/// order of the log lets its request run. A request whose claim was not read back in time is
/// refused and never runs, even if the claim appears later; the claim is then released.
///
/// Thread safety: Run is called on the duty's thread; everything reaches it through the ring.
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

  /// @brief Handles events until the ring is closed and drained, then appends what is left.
  void Run() {
    while (true) {
      auto event = NextEvent();
      now_ = Clock::now();
      if (event) {
        std::visit([this](auto& it) { this->Handle(std::move(it)); }, *event);
      }
      GiveUpLateClaims();
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
      return waiting_claims_ == 0 ? events_.Pop() : events_.PopFor(kDeadlineCheckInterval);
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
      RefuseUnclaimed(request, "the claims stream is not read yet");
      return;
    }
    ClaimKey key{request.team, std::string(request.request.headers.Find("Idempotency-Key"))};
    std::string digest = RequestDigest(request.request);
    if (LocalClaim* local = FindLocal(key)) {
      Follow(*local, std::move(request), digest);
    } else if (const ClaimEntry* entry = table_.Find(key)) {
      AnswerFrom(*entry, request, digest);
    } else {
      Propose(std::move(key), std::move(digest), std::move(request));
    }
  }

  LocalClaim* FindLocal(const ClaimKey& key) {
    const auto it = local_keys_.find(key);
    return it == local_keys_.end() ? nullptr : &local_.find(it->second)->second;
  }

  // A repetition at the same gateway, often of a caller that lost its connection.
  void Follow(LocalClaim& local, CallerRequest request, const std::string& digest) {
    if (local.digest != digest) {
      RefuseReusedKey(request);
    } else if (local.outcome) {
      Answer(request, *local.outcome);
    } else if (local.followers.size() < options_.followers_of_claim) {
      local.followers.push_back(std::move(request));
    } else {
      responder_.Refuse(request, {ResultCode::kInProgressElsewhere, RunState::kMayHaveRun,
                                  "too many repetitions of this key wait"});
    }
  }

  void AnswerFrom(const ClaimEntry& entry, const CallerRequest& request,
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
      return {ResultCode::kOutcomeUnknown, *entry.run_state, "the first answer is not kept"};
    }
    // Claims of this process are local; this one was made by an earlier process of the instance.
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

  void RefuseUnclaimed(const CallerRequest& request, const std::string& detail) {
    responder_.Refuse(request, {ResultCode::kClaimUnavailable, RunState::kDidNotRun, detail});
  }

  void Propose(ClaimKey key, std::string digest, CallerRequest request) {
    const std::string id =
        options_.instance + "/" + options_.process + "/" + std::to_string(++last_claim_);
    const RequestClaimed record{id, key, digest, options_.instance};
    if (waiting_claims_ >= options_.backlog ||
        !batch_.Add({codec::EncodeClaimRecord(id, record), id}, now_)) {
      RefuseUnclaimed(request, "too many claims wait");
      return;
    }
    local_keys_.emplace(key, id);
    local_.emplace(id, LocalClaim{std::move(key),
                                  std::move(digest),
                                  now_ + options_.claim_timeout,
                                  std::move(request),
                                  {},
                                  {}});
    ++waiting_claims_;
  }

  void Handle(const ClaimsRead& read) {
    for (const ClaimRecord& it : read.records) {
      table_.Apply(it, now_);
      std::visit([this](const auto& body) { this->AfterApply(body); }, it);
    }
    is_caught_up_ = is_caught_up_ || read.is_at_tail;
  }

  void AfterApply(const RequestClaimed& body) {
    const ClaimEntry* entry = table_.Find(body.key);
    const bool is_first = entry != nullptr && entry->claim == body.id;
    const auto it = local_.find(body.id);
    if (it == local_.end()) {
      if (is_first && IsOfThisProcess(body.id)) {
        // The request was refused before its claim was read, so that it did not run.
        Release(body.id);
      }
      return;
    }
    if (!it->second.request) {
      return;  // The append was repeated.
    }
    if (is_first) {
      --waiting_claims_;
      CallerRequest request = std::move(*it->second.request);
      it->second.request.reset();
      request.claim = ClaimTicket{body.id};
      (void)routing_.Push(ClaimedRequest{std::move(request)});
      return;
    }
    LocalClaim lost = Forget(it);
    AnswerFrom(*entry, *lost.request, lost.digest);
    for (const CallerRequest& follower : lost.followers) {
      AnswerFrom(*entry, follower, lost.digest);
    }
  }

  void AfterApply(const RequestCompleted& body) { ForgetEnded(body.claim); }
  void AfterApply(const RequestReleased& body) { ForgetEnded(body.claim); }

  void ForgetEnded(const std::string& claim) {
    const auto it = local_.find(claim);
    if (it != local_.end() && it->second.outcome) {
      (void)Forget(it);
    }
  }

  [[nodiscard]] bool IsOfThisProcess(const std::string& claim) const {
    return claim.starts_with(options_.instance + "/" + options_.process + "/");
  }

  void Handle(ClaimEnded ended) {
    const auto it = local_.find(ended.ticket.claim);
    for (const CallerRequest& follower : it->second.followers) {
      Answer(follower, ended.outcome);
    }
    it->second.followers.clear();
    Report(ended);
    it->second.outcome.emplace(std::move(ended.outcome));
    BoundEnded(it->first);
  }

  // The outcomes of ended claims are read back within milliseconds, but not while the log is down.
  void BoundEnded(const std::string& claim) {
    ended_.push_back(claim);
    while (ended_.size() > options_.backlog) {
      ForgetEnded(ended_.front());
      ended_.pop_front();
    }
  }

  void Report(const ClaimEnded& ended) {
    const std::string& claim = ended.ticket.claim;
    if (const auto* response = std::get_if<net::HttpResponse>(&ended.outcome)) {
      AppendLater(RequestCompleted{claim, RunState::kRan, StoredAnswerOf(*response)});
      return;
    }
    const auto& refusal = std::get<Refusal>(ended.outcome);
    if (refusal.run_state == RunState::kDidNotRun) {
      Release(claim);
    } else {
      AppendLater(RequestCompleted{claim, refusal.run_state, std::nullopt});
    }
  }

  void Release(const std::string& claim) { AppendLater(RequestReleased{claim}); }

  void AppendLater(const ClaimRecord& record) {
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
      AfterFailedAppend(appends, *refusal);
    }
  }

  void AfterFailedAppend(const std::vector<ClaimAppend>& appends, const Refusal& refusal) {
    const bool is_unknown = refusal.run_state != RunState::kDidNotRun;
    for (const ClaimAppend& it : appends) {
      if (!it.claim.empty()) {
        // A claim whose append may have taken effect is resolved by reading.
        if (!is_unknown) {
          GiveUp(it.claim, refusal.detail);
        }
      } else if (!batch_.Add(it, now_)) {
        metrics_.Count(kClaimRecordsLost);
      }
    }
  }

  void GiveUp(const std::string& claim, const std::string& detail) {
    const auto it = local_.find(claim);
    if (it == local_.end() || !it->second.request) {
      return;
    }
    const LocalClaim given_up = Forget(it);
    RefuseUnclaimed(*given_up.request, detail);
    for (const CallerRequest& follower : given_up.followers) {
      RefuseUnclaimed(follower, detail);
    }
  }

  void GiveUpLateClaims() {
    if (waiting_claims_ == 0 || now_ < next_deadline_check_) {
      return;
    }
    next_deadline_check_ = now_ + kDeadlineCheckInterval;
    std::vector<std::string> late;
    for (const auto& [id, claim] : local_) {
      if (claim.request && claim.deadline <= now_) {
        late.push_back(id);
      }
    }
    for (const std::string& it : late) {
      GiveUp(it, "the claim was not read back in time");
    }
  }

  LocalClaim Forget(std::map<std::string, LocalClaim>::iterator it) {
    LocalClaim claim = std::move(it->second);
    local_.erase(it);
    local_keys_.erase(claim.key);
    waiting_claims_ -= claim.request ? 1 : 0;
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
  std::map<std::string, LocalClaim> local_;
  std::map<ClaimKey, std::string> local_keys_;
  // Ended claims, oldest first; some may have been forgotten since.
  std::deque<std::string> ended_;
  // Local claims that are not read back yet.
  std::size_t waiting_claims_ = 0;
  bool is_caught_up_ = false;
  std::uint64_t last_claim_ = 0;
  std::uint64_t last_end_ = 0;
  MonotonicTime now_;
  MonotonicTime last_append_;
  MonotonicTime next_deadline_check_;
};

}  // namespace clementineloom::gateway
