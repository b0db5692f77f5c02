#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clementineloom/membership/scheduler_peer.h"

namespace clementineloom {

/// @brief The live schedulers in one version of the instance list. An immutable value.
class MembershipView {
 public:
  MembershipView() = default;
  MembershipView(std::uint64_t version, std::vector<SchedulerPeer> schedulers)
      : version_(version), schedulers_(std::move(schedulers)) {}

  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const std::vector<SchedulerPeer>& schedulers() const { return schedulers_; }

  /// @brief The rank of an instance for a subject by rendezvous hashing; 0 is the preferred one.
  ///
  /// An instance that is not listed is ranked as if it were, because the list may lag behind.
  /// Complexity: linear in the number of schedulers.
  [[nodiscard]] std::size_t RankOf(std::string_view instance, std::uint64_t subject) const;

  friend auto operator<=>(const MembershipView&, const MembershipView&) = default;

 private:
  std::uint64_t version_ = 0;
  std::vector<SchedulerPeer> schedulers_;
};

}  // namespace clementineloom
