#pragma once

#include <string>
#include <variant>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/routing/claim_entry.h"
#include "clementineloom/routing/monotonic_time.h"
#include "gateway/caller_request.h"
#include "gateway/claims_options.h"
#include "gateway/responder.h"
#include "net/http_response.h"

namespace clementineloom::gateway {

/// @brief Answers requests with an idempotency key that do not run.
///
/// Thread safety: every member function may be called from any thread except the server's.
class ClaimResponder {
 public:
  /// Precondition: the options outlive the responder.
  ClaimResponder(const ClaimsOptions& options, Responder responder)
      : options_(options), responder_(responder) {}

  /// @brief Answers a duplicate of a claim that was read back.
  /// @param digest of the request
  void AnswerFromEntry(const ClaimEntry& entry, const CallerRequest& request,
                       const std::string& digest, MonotonicTime now);

  /// @brief Answers with the outcome of the first request of the key.
  void Answer(const CallerRequest& request,
              const std::variant<net::HttpResponse, Refusal>& outcome);

  /// @brief Refuses a request whose key was used with another request.
  void RefuseReusedKey(const CallerRequest& request);

  /// @brief Refuses a request that cannot be claimed and did not run.
  void RefuseAsClaimUnavailable(const CallerRequest& request, const std::string& detail);

  /// @brief Refuses a request since too many duplicates of its key are waiting.
  void RefuseAsOneTooMany(const CallerRequest& request);

 private:
  [[nodiscard]] Refusal RefusalFor(const ClaimEntry& entry, MonotonicTime now) const;

  const ClaimsOptions& options_;
  Responder responder_;
};

}  // namespace clementineloom::gateway
