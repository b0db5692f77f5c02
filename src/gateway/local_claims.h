#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/routing/claim_key.h"
#include "clementineloom/routing/monotonic_time.h"
#include "gateway/caller_request.h"
#include "gateway/local_claim.h"

namespace clementineloom::gateway {

/// @brief The claims made by this process that have not ended, and the newest ended ones whose
/// outcome has not been read back.
///
/// Thread safety: none; one thread owns the claims.
class LocalClaims {
 public:
  /// @param max_ended limit of ended claims that are kept
  explicit LocalClaims(std::size_t max_ended) : max_ended_(max_ended) {}

  /// @brief Adds a claim that has not been read back.
  /// Precondition: neither the id nor the claim's key is present; the claim has its request.
  void Add(const std::string& id, LocalClaim claim) {
    ids_.emplace(claim.key, id);
    claims_.emplace(id, std::move(claim));
    ++unconfirmed_;
  }

  /// @brief The claim of a key, or nullptr. Valid until it is removed.
  [[nodiscard]] LocalClaim* FindKey(const ClaimKey& key) {
    const auto it = ids_.find(key);
    return it == ids_.end() ? nullptr : Find(it->second);
  }

  /// @brief The claim of an id, or nullptr. Valid until it is removed.
  [[nodiscard]] LocalClaim* Find(const std::string& id) {
    const auto it = claims_.find(id);
    return it == claims_.end() ? nullptr : &it->second;
  }

  /// @brief Number of claims that have not been read back.
  [[nodiscard]] std::size_t unconfirmed() const { return unconfirmed_; }

  /// @brief Notes that a claim was read back. @return its request
  /// Precondition: the claim is present and has its request.
  [[nodiscard]] CallerRequest Confirm(const std::string& id) {
    LocalClaim& claim = claims_.at(id);
    CallerRequest request = std::move(*claim.request);
    claim.request.reset();
    --unconfirmed_;
    return request;
  }

  /// @brief Removes a claim. Precondition: it is present.
  LocalClaim Remove(const std::string& id) {
    const auto it = claims_.find(id);
    LocalClaim claim = std::move(it->second);
    claims_.erase(it);
    ids_.erase(claim.key);
    unconfirmed_ -= claim.request ? 1 : 0;
    return claim;
  }

  /// @brief Removes a claim if it is present and has ended.
  void RemoveEnded(const std::string& id) {
    const LocalClaim* claim = Find(id);
    if (claim != nullptr && claim->outcome) {
      (void)Remove(id);
    }
  }

  /// @brief Notes that a claim has ended. Outcomes are normally read back within milliseconds;
  /// while the log is down they accumulate up to the limit, and the oldest ones are removed.
  /// Precondition: the claim is present and has its outcome.
  void NoteEnded(const std::string& id) {
    ended_.push_back(id);
    while (ended_.size() > max_ended_) {
      RemoveEnded(ended_.front());
      ended_.pop_front();
    }
  }

  /// @brief Ids of the claims that were not read back by their deadline.
  [[nodiscard]] std::vector<std::string> TimedOut(MonotonicTime now) const {
    std::vector<std::string> timed_out;
    for (const auto& [id, claim] : claims_) {
      if (claim.request && claim.deadline <= now) {
        timed_out.push_back(id);
      }
    }
    return timed_out;
  }

 private:
  const std::size_t max_ended_;
  std::map<std::string, LocalClaim> claims_;
  std::map<ClaimKey, std::string> ids_;
  // Ended claims, oldest first; some may have been removed from claims_ since.
  std::deque<std::string> ended_;
  std::size_t unconfirmed_ = 0;
};

}  // namespace clementineloom::gateway
