#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "clementineloom/state/state_change.h"

namespace clementineloom {

/// @brief The latest changes of a ClusterState, so that an index can be updated without a full
/// scan.
///
/// A copy starts as an empty journal with its own identity: an index that followed the original
/// has to be rebuilt from the copied state.
/// Thread safety: none; the thread that owns the state uses it.
class ChangeJournal {
 public:
  /// @brief Identifies a journal. An index that keeps the pointer prevents the reuse of its
  /// address.
  using Identity = std::shared_ptr<const char>;

  ChangeJournal() = default;
  ChangeJournal(const ChangeJournal& /*other*/) {}
  ChangeJournal& operator=(const ChangeJournal& other);
  ChangeJournal(ChangeJournal&& other) noexcept = default;
  ChangeJournal& operator=(ChangeJournal&& other) noexcept = default;
  ~ChangeJournal() = default;

  void Add(StateChange change);

  [[nodiscard]] const Identity& identity() const { return identity_; }
  /// @brief Number of the next change.
  [[nodiscard]] std::uint64_t end() const { return first_ + changes_.size(); }
  /// @brief Whether all changes from number `from` on are still kept.
  [[nodiscard]] bool Holds(std::uint64_t from) const { return from >= first_ && from <= end(); }
  /// Precondition: Holds(number) and number < end().
  [[nodiscard]] const StateChange& at(std::uint64_t number) const {
    return changes_[number - first_];
  }

 private:
  // Covers about twenty gangs of 512 workers; an index that lags further is rebuilt from the state.
  static constexpr std::size_t kChangesKept = 16'384;

  Identity identity_ = std::make_shared<const char>('\0');
  std::uint64_t first_ = 0;
  std::deque<StateChange> changes_;
};

}  // namespace clementineloom
