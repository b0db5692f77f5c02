#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "clementineloom/workload/owner_election.h"
#include "clementineloom/workload/workload_record.h"
#include "codec/workload_record_codec.h"
#include "entry/election/owner_producer.h"
#include "entry/jobs/record_author.h"
#include "entry/port/call_port.h"
#include "entry/store/append_answer.h"
#include "entry/store/append_order.h"
#include "entry/store/store_endpoint.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Claims the ownership of the workers for this instance, and knows the newest owner.
///
/// A claim takes effect only when it is read back from the topic: after it no record of an earlier
/// owner can follow. The answer to the append does not decide: a store that appended another
/// instance's claim of the same epoch acknowledges this one as a duplicate, and a claim without an
/// answer may still be appended.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class OwnershipClaims {
 public:
  /// Precondition: the port outlives the claims, and the claims outlive its calls.
  /// @param endpoint of the jobs topic
  /// @param seed unique to each process, also across restarts of an instance
  OwnershipClaims(Port& port, StoreEndpoint endpoint, std::string instance,
                  std::int64_t cpu_millicores, std::uint32_t seed)
      : port_(port),
        endpoint_(std::move(endpoint)),
        instance_(std::move(instance)),
        election_(instance_, cpu_millicores),
        nonce_(seed) {}

  /// @brief What this instance has read about owners and instances.
  [[nodiscard]] workload::OwnerElection& election() { return election_; }

  /// @brief Epoch of the last claim; 0 before the first one and after Forget.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

  /// @brief Epoch of the newest owner that was read; 0 before the first one.
  [[nodiscard]] std::uint64_t newest_epoch() const {
    return election_.owner() ? election_.owner()->epoch : 0;
  }

  /// @brief Appends a claim if the election allows one now.
  /// Precondition: this instance does not own the workers.
  /// @param next_offset of the jobs topic, for the log
  void ClaimIfAllowed(std::uint64_t next_offset) {
    if (!is_claiming_ && election_.MayClaim(port_.Now())) {
      Claim(next_offset);
    }
  }

  /// @brief Gives up the last claim, after ownership was lost.
  void Forget() { epoch_ = 0; }

  /// @brief Notes an owner record.
  /// @return whether it is the newest one
  bool OnOwnerRecord(const workload::OwnerRecord& owner, std::uint64_t offset) {
    election_.OnOwner(owner, port_.Now());
    const bool is_newest = election_.owner() == owner;
    if (is_newest) {
      owner_offset_ = offset;
    }
    return is_newest;
  }

  /// @brief Notes another record. After a claim no earlier owner writes records of tasks and ends,
  /// so that one beyond the claim shows that the newest owner is alive.
  void OnOtherRecord(const workload::WorkloadRecord& record, std::uint64_t offset) {
    if (IsOwnerRecord(record) && offset > owner_offset_) {
      election_.OnOwnerActivity(port_.Now());
    }
  }

  /// @brief Whether the newest owner record is the last claim of this instance, and all records
  /// before it were read: a page of a load may contain the owner record without them.
  [[nodiscard]] bool IsWon(std::uint64_t next_offset) const {
    const workload::OwnerRecord own_claim{epoch_, instance_, workload::OwnerPhase::kActive};
    return epoch_ != 0 && election_.owner() == own_claim && next_offset > owner_offset_;
  }

  /// @brief Whether an owner record is newer than the last claim of this instance.
  [[nodiscard]] bool IsSupersededBy(const workload::OwnerRecord& owner) const {
    return epoch_ != 0 && owner.epoch > epoch_;
  }

  /// @brief The instance that owns the workers, if it is another one; otherwise empty.
  [[nodiscard]] std::string OtherOwner() const {
    const auto& owner = election_.owner();
    const bool is_other =
        owner && owner->phase == workload::OwnerPhase::kActive && owner->instance != instance_;
    return is_other ? owner->instance : std::string();
  }

  /// @brief Time until the election may allow a claim, if the owner writes nothing before.
  [[nodiscard]] workload::Milliseconds TimeToEarliestClaim() const {
    const auto now = port_.Now();
    const auto remaining =
        std::chrono::ceil<workload::Milliseconds>(election_.EarliestClaim(now) - now);
    return std::max(remaining, workload::Milliseconds(0));
  }

 private:
  // Longer than the store queues an append, so that no claim is sent while the one before waits.
  static constexpr workload::Milliseconds kClaimTimeout{2'400};

  void Claim(std::uint64_t next_offset) {
    is_claiming_ = true;
    epoch_ = election_.NextEpoch(nonce_++);
    logging::LogEvent(logging::LogLevel::kInfo, "claiming_ownership",
                      {{"epoch", epoch_}, {"next_offset", next_offset}});
    port_.Call(
        endpoint_.address, Platform::AppendRequest(endpoint_.topic, ClaimOrder()), kClaimTimeout,
        [this](const net::ClientResult& result) { OnClaimAnswer(Platform::ParseAppend(result)); });
  }

  [[nodiscard]] AppendOrder ClaimOrder() const {
    AppendOrder order;
    order.items = {codec::EncodeWorkloadRecord(
        workload::OwnerSet{{epoch_, instance_, workload::OwnerPhase::kActive}})};
    order.producer = kOwnerProducer;
    order.epoch = epoch_;
    return order;
  }

  void OnClaimAnswer(const AppendAnswer& answer) {
    is_claiming_ = false;
    if (answer.status != AppendStatus::kAppended) {
      logging::LogEvent(logging::LogLevel::kInfo, "claim_failed",
                        {{"epoch", epoch_}, {"status", static_cast<int>(answer.status)}});
    }
    election_.OnClaimAnswered(port_.Now());
  }

  Port& port_;
  const StoreEndpoint endpoint_;
  const std::string instance_;
  workload::OwnerElection election_;
  // Makes the epochs of this instance differ from those of others; changes with each claim, in case
  // two instances collide.
  std::uint64_t nonce_;
  std::uint64_t epoch_ = 0;
  // Offset of the newest owner record.
  std::uint64_t owner_offset_ = 0;
  bool is_claiming_ = false;
};

}  // namespace clementineloom::entry
