#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "clementineloom/workload/instance_record.h"
#include "clementineloom/workload/owner_record.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Tells when an instance may claim the ownership that another one holds.
///
/// An owner that is alive writes a record at least every kBeatInterval. Silence counts only while
/// the stream itself can be read: after an outage an owner gets the full time again.
/// Thread safety: none; use from one thread.
class OwnerElection {
 public:
  static constexpr Milliseconds kBeatInterval{400};
  /// Three beats and the time to read one.
  static constexpr Milliseconds kSilence{1'400};
  /// Instances claim one after the other within this time, so that most claims meet no other.
  static constexpr Milliseconds kSpread{300};
  /// A longer gap between two reads counts as an outage.
  static constexpr Milliseconds kReadGap{1'900};

  /// Time from the answer to a claim to the next claim.
  static constexpr Milliseconds kClaimPause{400};

  /// Larger instances claim first, by this time: they plan for a large fleet in time.
  static constexpr Milliseconds kSmallerPause{400};
  /// Time in which all instances of a new system tell their size.
  static constexpr Milliseconds kStartPause{500};

  /// @param rank 0 to 1; the share of kSpread that this instance waits
  /// @param cpu_millicores of this instance; 0 where they are not known
  OwnerElection(std::string instance, double rank, std::int64_t cpu_millicores = 0);

  /// @brief Notes an instance and its size.
  void OnInstance(const InstanceRecord& instance);

  /// @brief Notes a record of the owner. A record of this instance that comes before the instance
  /// has claimed is that of a former life, which has surely ended.
  void OnOwner(const OwnerRecord& owner, SteadyTime now);

  /// @brief Notes that the stream was read.
  void OnRead(SteadyTime now);

  /// @brief Notes that the stream could not be read; nothing is claimed until it is read again.
  void OnReadFailed();

  /// @brief Notes the answer to a claim, whatever it was; the next one waits for kClaimPause, in
  /// which a successful claim is read back.
  void OnClaimAnswered(SteadyTime now);

  /// @brief Whether to claim the ownership now. False before the first read.
  [[nodiscard]] bool MayClaim(SteadyTime now) const;

  /// @brief An epoch above every one seen, which no other instance takes at the same time.
  /// @param nonce differs between instances
  [[nodiscard]] std::uint64_t NextEpoch(std::uint64_t nonce) const;

  [[nodiscard]] const std::optional<OwnerRecord>& owner() const { return owner_; }

 private:
  // The lower bits of an epoch are the nonce of its instance.
  static constexpr std::uint64_t kNonceRange = 1'048'576;

  const std::string instance_;
  const Milliseconds delay_;
  const std::int64_t cpu_millicores_;
  bool has_larger_peer_ = false;
  std::optional<SteadyTime> first_read_;
  std::optional<OwnerRecord> owner_;
  std::optional<SteadyTime> last_read_;
  // Last sign of the owner, or the end of the last outage.
  SteadyTime last_sign_;
  bool is_readable_ = false;
  SteadyTime may_claim_from_;
};

}  // namespace clementineloom::workload
