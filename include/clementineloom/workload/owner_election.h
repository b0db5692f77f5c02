#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "clementineloom/workload/claim_rank.h"
#include "clementineloom/workload/claim_rounds.h"
#include "clementineloom/workload/instance_record.h"
#include "clementineloom/workload/owner_record.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Tells when an instance may claim the ownership that another one holds.
///
/// A live owner writes a heartbeat record at least every kHeartbeatInterval. On a slow store a
/// heartbeat waits behind the owner's other records, so each of these shows too that it is alive.
/// Missing records count only while the stream can be read: after an outage the owner gets the full
/// timeout again. The instances claim in rounds (ClaimRounds), in the order of ClaimRank.
/// Thread safety: none; use from one thread.
class OwnerElection {
 public:
  static constexpr Milliseconds kHeartbeatInterval{400};
  /// Three heartbeat intervals and the time to read a record.
  static constexpr Milliseconds kOwnerTimeout{1'400};
  /// A longer gap between two reads counts as an outage.
  static constexpr Milliseconds kMaxReadGap{1'900};

  /// Shortest time from the answer to a claim to the next claim.
  static constexpr Milliseconds kClaimRetryDelay{400};
  /// After so many claims without a new owner the pause before the next one grows no more.
  static constexpr int kMaxRetryGrowth = 4;

  /// Extra delay of an instance that has a larger peer: the larger one plans for a large fleet in
  /// time. It is longer if several of the largest claim first.
  static constexpr Milliseconds kSmallerInstanceDelay{400};
  /// Longer than a claim needs at a store with a full queue, and short enough for the leases of the
  /// workers where all of the largest are dead.
  static constexpr Milliseconds kMaxSmallerInstanceDelay{2'500};
  /// Time in which all instances of a new system report their size.
  static constexpr Milliseconds kInitialClaimDelay{500};
  /// How long a smaller owner is left in office: long enough to adopt the workers, so that owners
  /// do not follow each other without a plan in between.
  static constexpr Milliseconds kSmallerOwnerTerm{2'000};
  /// Length of the rounds in which larger instances claim. Several times the pause between reads,
  /// also where instances are few: nobody waits for this claim.
  static constexpr Milliseconds kReplaceRound{800};

  /// @param cpu_millicores of this instance; 0 where they are not known
  explicit OwnerElection(std::string instance, std::int64_t cpu_millicores = 0);

  /// @brief Notes an instance and its size.
  void OnInstance(const InstanceRecord& instance);

  /// @brief Notes a record of the owner. A record of this instance from before its first claim was
  /// written by an earlier process, which has ended.
  void OnOwner(const OwnerRecord& owner, SteadyTime now);

  /// @brief Notes another record that the newest owner wrote. Those that follow its resignation do
  /// not delay the next claim.
  void OnOwnerActivity(SteadyTime now);

  /// @brief Notes that the stream was read.
  void OnRead(SteadyTime now);

  /// @brief Notes that the stream could not be read; nothing is claimed until it is read again.
  void OnReadFailed();

  /// @brief Notes the answer to a claim, whether it succeeded or not. The next claim waits for
  /// kClaimRetryDelay, in which a successful claim is read back, and for the turn of this instance
  /// in rounds that grow with each claim until a new owner is read.
  void OnClaimAnswered(SteadyTime now);

  /// @brief Notes that this instance hands over because it reaches no worker: for
  /// OwnerHandOver::kRest it claims later than its peers, whose claims come first.
  void OnHandOver(SteadyTime now) { handed_over_at_ = now; }

  /// @brief When this instance last handed over; empty if it has not.
  [[nodiscard]] const std::optional<SteadyTime>& handed_over_at() const { return handed_over_at_; }

  /// @brief Whether to claim the ownership now. False before the first read.
  [[nodiscard]] bool MayClaim(SteadyTime now) const;

  /// @brief Earliest time, as known now, at which MayClaim can become true unless the owner writes
  /// before; a read failure, the pause after a claim, and the start of a new system may delay it
  /// further.
  [[nodiscard]] SteadyTime EarliestClaim(SteadyTime now) const;

  /// @brief An epoch above every one seen, which no other instance takes at the same time. Among
  /// the claims to succeed one owner, those of earlier candidates have the higher epochs: the store
  /// refuses a later candidate's claim rather than let it depose the successor.
  /// @param nonce differs between instances
  [[nodiscard]] std::uint64_t NextEpoch(std::uint64_t nonce) const;

  [[nodiscard]] const std::optional<OwnerRecord>& owner() const { return owner_; }

 private:
  // Below the number of the succession, an epoch holds the reversed rank and the nonce of its
  // instance.
  static constexpr std::uint64_t kRankRange = 512;
  static constexpr std::uint64_t kNonceRange = 1'048'576;

  // Whether the newest owner has not resigned, is another instance and is known to be smaller than
  // this one. Does not tell whether it is alive.
  [[nodiscard]] bool HasSmallerOwner() const;
  // Whether another instance owns the workers and has written within the owner timeout.
  [[nodiscard]] bool IsOwnedByAnother(SteadyTime now) const;
  [[nodiscard]] ClaimRank Rank() const;
  [[nodiscard]] ClaimRounds Rounds() const;
  // Time from the silence of the owner to the claim of this instance. The turn of an instance that
  // rests after a hand-over is the last: it reached no worker, and its peers may.
  [[nodiscard]] Milliseconds TurnDelay(bool is_resting) const;
  // Whether a new system waits for the records of its instances.
  [[nodiscard]] bool IsStarting() const;

  const std::string instance_;
  const std::int64_t cpu_millicores_;
  // Sizes of the instances that are known, this one included, in thousandths of a core.
  std::map<std::string, std::int64_t> sizes_;
  std::optional<OwnerRecord> owner_;
  std::optional<SteadyTime> last_read_;
  // First record of the owner.
  SteadyTime owner_since_;
  // Last record of the owner, or the end of the last outage.
  SteadyTime last_heartbeat_;
  bool is_readable_ = false;
  SteadyTime next_claim_at_;
  // Claims of this instance since a new owner was read.
  int claims_ = 0;
  std::optional<SteadyTime> handed_over_at_;
};

}  // namespace clementineloom::workload
