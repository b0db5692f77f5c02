#include "clementineloom/workload/owner_election.h"

#include <algorithm>
#include <utility>

#include "clementineloom/workload/owner_hand_over.h"

namespace clementineloom::workload {

OwnerElection::OwnerElection(std::string instance, std::int64_t cpu_millicores)
    : instance_(std::move(instance)), cpu_millicores_(cpu_millicores) {}

void OwnerElection::OnOwner(const OwnerRecord& owner, SteadyTime now) {
  if (owner_ && owner.epoch < owner_->epoch) {
    return;
  }
  if (!owner_ || owner.epoch > owner_->epoch) {
    owner_since_ = now;
    claims_ = 0;
    next_claim_at_ = std::min(next_claim_at_, now + kClaimRetryDelay);
  }
  owner_ = owner;
  last_heartbeat_ = now;
}

void OwnerElection::OnOwnerActivity(SteadyTime now) {
  if (owner_ && owner_->phase == OwnerPhase::kActive) {
    last_heartbeat_ = now;
  }
}

void OwnerElection::OnInstance(const InstanceRecord& instance) {
  sizes_[instance.instance] = instance.cpu_millicores;
}

void OwnerElection::OnRead(SteadyTime now) {
  if (!last_read_ || now - *last_read_ > kMaxReadGap) {
    last_heartbeat_ = now;
  }
  last_read_ = now;
  is_readable_ = true;
}

void OwnerElection::OnReadFailed() { is_readable_ = false; }

void OwnerElection::OnClaimAnswered(SteadyTime now) {
  const bool is_own = owner_ && owner_->instance == instance_;
  const Milliseconds turn = is_own ? Milliseconds(0) : Rounds().DelayOf(Rank().rank);
  claims_ = std::min(claims_ + 1, kMaxRetryGrowth);
  next_claim_at_ = now + kClaimRetryDelay + turn * claims_;
}

bool OwnerElection::MayClaim(SteadyTime now) const {
  if (!is_readable_ || now - *last_read_ > kMaxReadGap || now < next_claim_at_) {
    return false;
  }
  const bool has_owner = IsOwnedByAnother(now) && !HasSmallerOwner();
  return !has_owner && now >= EarliestClaim(now);
}

bool OwnerElection::IsOwnedByAnother(SteadyTime now) const {
  return owner_ && owner_->phase == OwnerPhase::kActive && owner_->instance != instance_ &&
         now < last_heartbeat_ + kOwnerTimeout;
}

ClaimRank OwnerElection::Rank() const {
  return ClaimRank::Of(sizes_, instance_, cpu_millicores_, owner_);
}

ClaimRounds OwnerElection::Rounds() const { return ClaimRounds::ForInstances(sizes_.size()); }

Milliseconds OwnerElection::TurnDelay(bool is_resting) const {
  const ClaimRounds rounds = Rounds();
  ClaimRank own = Rank();
  if (is_resting) {
    own.rank = std::max(own.rank, sizes_.size());
  }
  if (own.largest == 0) {
    return rounds.DelayOf(own.rank);
  }
  const Milliseconds smaller_delay =
      std::clamp(rounds.DelayOf(own.largest), kSmallerInstanceDelay, kMaxSmallerInstanceDelay);
  return smaller_delay + rounds.DelayOf(own.rank - own.largest);
}

bool OwnerElection::IsStarting() const {
  const bool has_peers = sizes_.size() > sizes_.count(instance_);
  return !owner_ && (cpu_millicores_ > 0 || has_peers);
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
  const Milliseconds initial_delay = IsStarting() ? kInitialClaimDelay : Milliseconds(0);
  const Milliseconds timeout = is_free ? initial_delay : kOwnerTimeout;
  // The claims of other instances, which wait for the owner timeout, cannot collide with the one of
  // a restarted owner.
  const bool is_undisputed = is_own && owner_->phase == OwnerPhase::kActive;
  const Milliseconds turn = is_undisputed ? Milliseconds(0) : TurnDelay(is_resting);
  const SteadyTime once_silent = last_heartbeat_ + timeout + turn + rest_delay;
  if (is_resting || !HasSmallerOwner()) {
    return once_silent;
  }
  const Milliseconds replace_turn = ClaimRounds(kReplaceRound).DelayOf(Rank().rank);
  return std::min(once_silent, owner_since_ + kSmallerOwnerTerm + replace_turn);
}

std::uint64_t OwnerElection::NextEpoch(std::uint64_t nonce) const {
  constexpr std::uint64_t kSuccessionRange = kRankRange * kNonceRange;
  const std::uint64_t last = owner_ ? owner_->epoch : 0;
  const std::uint64_t rank = std::min<std::uint64_t>(Rank().rank, kRankRange - 1);
  const std::uint64_t reversed_rank = kRankRange - 1 - rank;
  return (last / kSuccessionRange + 1) * kSuccessionRange + reversed_rank * kNonceRange +
         nonce % kNonceRange;
}

}  // namespace clementineloom::workload
