#include "clementineloom/workload/owner_election.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "clementineloom/workload/owner_hand_over.h"

namespace clementineloom::workload {

OwnerElection::OwnerElection(std::string instance, double rank, std::int64_t cpu_millicores)
    : instance_(std::move(instance)),
      claim_delay_(static_cast<std::int64_t>(rank * static_cast<double>(kMaxClaimDelay.count()))),
      replace_delay_(
          static_cast<std::int64_t>(rank * static_cast<double>(kMaxReplaceDelay.count()))),
      cpu_millicores_(cpu_millicores) {
  assert(rank >= 0 && rank <= 1);
}

void OwnerElection::OnOwner(const OwnerRecord& owner, SteadyTime now) {
  if (!owner_ || owner.epoch >= owner_->epoch) {
    owner_since_ = owner_ && owner.epoch == owner_->epoch ? owner_since_ : now;
    owner_ = owner;
    last_heartbeat_ = now;
  }
}

void OwnerElection::OnOwnerActivity(SteadyTime now) {
  if (owner_ && owner_->phase == OwnerPhase::kActive) {
    last_heartbeat_ = now;
  }
}

void OwnerElection::OnInstance(const InstanceRecord& instance) {
  sizes_[instance.instance] = instance.cpu_millicores;
  const bool is_larger = cpu_millicores_ > 0 && instance.cpu_millicores > cpu_millicores_;
  has_larger_peer_ = has_larger_peer_ || (is_larger && instance.instance != instance_);
}

void OwnerElection::OnRead(SteadyTime now) {
  first_read_ = first_read_.value_or(now);
  if (!last_read_ || now - *last_read_ > kMaxReadGap) {
    last_heartbeat_ = now;
  }
  last_read_ = now;
  is_readable_ = true;
}

void OwnerElection::OnReadFailed() { is_readable_ = false; }

void OwnerElection::OnClaimAnswered(SteadyTime now) { next_claim_at_ = now + kClaimRetryDelay; }

bool OwnerElection::MayClaim(SteadyTime now) const {
  if (!is_readable_ || now - *last_read_ > kMaxReadGap || now < next_claim_at_) {
    return false;
  }
  if (!owner_ && cpu_millicores_ > 0 && now < *first_read_ + kInitialClaimDelay) {
    return false;
  }
  return now >= EarliestClaim(now);
}

bool OwnerElection::HasSmallerOwner() const {
  if (!owner_ || owner_->phase != OwnerPhase::kActive || owner_->instance == instance_) {
    return false;
  }
  const auto size = sizes_.find(owner_->instance);
  return size != sizes_.end() && size->second > 0 && size->second < cpu_millicores_;
}

SteadyTime OwnerElection::EarliestClaim(SteadyTime now) const {
  const Milliseconds rest_delay =
      handed_over_at_ ? OwnerHandOver::ClaimDelay(
                            std::chrono::duration_cast<Milliseconds>(now - *handed_over_at_))
                      : Milliseconds(0);
  const bool is_resting = rest_delay > Milliseconds(0);
  const bool is_own = owner_ && owner_->instance == instance_ && !is_resting;
  const bool is_free = !owner_ || owner_->phase == OwnerPhase::kResigned || is_own;
  const Milliseconds timeout = is_free ? Milliseconds(0) : kOwnerTimeout;
  // The claims of other instances, which wait for the owner timeout, cannot collide with the one of
  // a restarted owner.
  const bool is_undisputed = is_own && owner_->phase == OwnerPhase::kActive;
  const Milliseconds spread = is_undisputed ? Milliseconds(0) : claim_delay_;
  const Milliseconds peer_delay = has_larger_peer_ ? kSmallerInstanceDelay : Milliseconds(0);
  const SteadyTime once_silent = last_heartbeat_ + timeout + spread + peer_delay + rest_delay;
  if (is_resting || !HasSmallerOwner()) {
    return once_silent;
  }
  return std::min(once_silent, owner_since_ + kSmallerOwnerTerm + replace_delay_);
}

std::uint64_t OwnerElection::NextEpoch(std::uint64_t nonce) const {
  const std::uint64_t last = owner_ ? owner_->epoch : 0;
  return (last / kNonceRange + 1) * kNonceRange + nonce % kNonceRange;
}

}  // namespace clementineloom::workload
