#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "clementineloom/state/state_change.h"

namespace clementineloom {

/// @brief The last changes of a ClusterState, so that an index can follow it without a full scan.
///
/// A copy is a journal of its own: an index that followed the original does not match it and reads
/// the copy from nothing. Thread safety: none; private to the state's one thread.
class ChangeJournal {
 public:
  /// @brief Names one journal for its lifetime; kept by a follower, it is not used again.
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
  /// @brief Whether all changes from a number on are still kept.
  [[nodiscard]] bool Holds(std::uint64_t from) const { return from >= first_ && from <= end(); }
  /// Precondition: Holds(number) and number < end().
  [[nodiscard]] const StateChange& at(std::uint64_t number) const {
    return changes_[number - first_];
  }

 private:
  // About twenty gangs of 512; a follower that falls further behind reads the state from nothing.
  static constexpr std::size_t kChangesKept = 16'384;

  Identity identity_ = std::make_shared<const char>('\0');
  std::uint64_t first_ = 0;
  std::deque<StateChange> changes_;
};

}  // namespace clementineloom
