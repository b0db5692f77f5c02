#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "clementineloom/workload/instance_record.h"
#include "clementineloom/workload/owner_record.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Tells when an instance may claim the ownership that another one holds.
///
/// A live owner writes a heartbeat record at least every kHeartbeatInterval. On a slow store a
/// heartbeat waits behind the owner's other records, so each of these shows too that it is alive.
/// Missing records count only while the stream can be read: after an outage the owner gets the full
/// timeout again.
/// Thread safety: none; use from one thread.
class OwnerElection {
 public:
  static constexpr Milliseconds kHeartbeatInterval{400};
  /// Three heartbeat intervals and the time to read a record.
  static constexpr Milliseconds kOwnerTimeout{1'400};
  /// The claims of the instances are spread over this time, so that most of them do not collide.
  static constexpr Milliseconds kMaxClaimDelay{300};
  /// A longer gap between two reads counts as an outage.
  static constexpr Milliseconds kMaxReadGap{1'900};

  /// Shortest time from the answer to a claim to the next claim.
  static constexpr Milliseconds kClaimRetryDelay{400};

  /// Extra delay of an instance that has a larger peer: the larger one plans for a large fleet in
  /// time.
  static constexpr Milliseconds kSmallerInstanceDelay{400};
  /// Time in which all instances of a new system report their size.
  static constexpr Milliseconds kInitialClaimDelay{500};
  /// How long a smaller owner is left in office: long enough to adopt the workers, so that owners
  /// do not follow each other without a plan in between.
  static constexpr Milliseconds kSmallerOwnerTerm{2'000};
  /// The claims of larger instances are spread over this time. Several times the pause between
  /// reads, so that most of them see the first claim before they make their own.
  static constexpr Milliseconds kMaxReplaceDelay{4'000};

  /// @param rank 0 to 1; the share of kMaxClaimDelay that this instance waits
  /// @param cpu_millicores of this instance; 0 where they are not known
  OwnerElection(std::string instance, double rank, std::int64_t cpu_millicores = 0);

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
  /// kClaimRetryDelay, in which a successful claim is read back.
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

  /// @brief An epoch above every one seen, which no other instance takes at the same time.
  /// @param nonce differs between instances
  [[nodiscard]] std::uint64_t NextEpoch(std::uint64_t nonce) const;

  [[nodiscard]] const std::optional<OwnerRecord>& owner() const { return owner_; }

 private:
  // The lower bits of an epoch are the nonce of its instance.
  static constexpr std::uint64_t kNonceRange = 1'048'576;

  // Whether the owner is known to be alive and smaller than this instance.
  [[nodiscard]] bool HasSmallerOwner() const;

  const std::string instance_;
  const Milliseconds claim_delay_;
  const Milliseconds replace_delay_;
  const std::int64_t cpu_millicores_;
  // Sizes of the instances that are known, this one included, in thousandths of a core.
  std::map<std::string, std::int64_t> sizes_;
  bool has_larger_peer_ = false;
  std::optional<SteadyTime> first_read_;
  std::optional<OwnerRecord> owner_;
  std::optional<SteadyTime> last_read_;
  // First record of the owner.
  SteadyTime owner_since_;
  // Last record of the owner, or the end of the last outage.
  SteadyTime last_heartbeat_;
  bool is_readable_ = false;
  SteadyTime next_claim_at_;
  std::optional<SteadyTime> handed_over_at_;
};

}  // namespace clementineloom::workload
