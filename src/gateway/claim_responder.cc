#include "gateway/claim_responder.h"

#include "gateway/stored_answer_of.h"

namespace clementineloom::gateway {

void ClaimResponder::AnswerFromEntry(const ClaimEntry& entry, const CallerRequest& request,
                                     const std::string& digest, MonotonicTime now) {
  if (entry.digest != digest) {
    RefuseReusedKey(request);
  } else if (entry.answer) {
    responder_.Answer(request, ResponseOf(*entry.answer));
  } else {
    responder_.Refuse(request, RefusalFor(entry, now));
  }
}

void ClaimResponder::Answer(const CallerRequest& request,
                            const std::variant<net::HttpResponse, Refusal>& outcome) {
  if (const auto* response = std::get_if<net::HttpResponse>(&outcome)) {
    responder_.Answer(request, *response);
  } else {
    responder_.Refuse(request, std::get<Refusal>(outcome));
  }
}

void ClaimResponder::RefuseReusedKey(const CallerRequest& request) {
  responder_.Refuse(request, {ResultCode::kKeyReused, RunState::kDidNotRun,
                              "the key was used with another method, target or body"});
}

void ClaimResponder::RefuseAsClaimUnavailable(const CallerRequest& request,
                                              const std::string& detail) {
  responder_.Refuse(request, {ResultCode::kClaimUnavailable, RunState::kDidNotRun, detail});
}

void ClaimResponder::RefuseAsOneTooMany(const CallerRequest& request) {
  responder_.Refuse(request, {ResultCode::kInProgressElsewhere, RunState::kMayHaveRun,
                              "too many duplicates of this key are waiting"});
}

Refusal ClaimResponder::RefusalFor(const ClaimEntry& entry, MonotonicTime now) const {
  if (entry.run_state) {
    return {ResultCode::kOutcomeUnknown, *entry.run_state, "the first response was not stored"};
  }
  // Claims of this process are answered before, so an earlier process of the instance made this.
  const bool is_orphaned = entry.gateway == options_.instance;
  if (is_orphaned || now - entry.seen_at > options_.run_limit) {
    return {ResultCode::kOutcomeUnknown, RunState::kMayHaveRun,
            "gateway " + entry.gateway + " did not report the outcome"};
  }
  return {ResultCode::kInProgressElsewhere, RunState::kMayHaveRun,
          "claimed by gateway " + entry.gateway};
}

}  // namespace clementineloom::gateway
