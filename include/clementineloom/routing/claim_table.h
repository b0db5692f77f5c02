#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "clementineloom/routing/claim_entry.h"
#include "clementineloom/routing/claim_key.h"
#include "clementineloom/routing/claim_record.h"

namespace clementineloom {

/// @brief State built from the claims stream: which claim of a key came first, and its outcome.
///
/// The table keeps the newest claims and the newest answers up to fixed bounds; older ones are
/// evicted. A duplicate that arrives after its claim was evicted counts as a new request.
///
/// Thread safety: none; one thread owns a table.
/// @code
/// ClaimTable table;
/// table.Apply(RequestClaimed{"c1", {"team", "key"}, "digest", "gw1"}, now);
/// const ClaimEntry* entry = table.Find({"team", "key"});
/// @endcode
class ClaimTable {
 public:
  struct Limits {
    /// 20,000 claims are more than the 36,000 daily jobs bring in 12 hours, in about 6 MB.
    std::size_t claims = 20'000;
    std::size_t answer_bytes = 4 * 1024 * 1024;

    friend auto operator<=>(const Limits&, const Limits&) = default;
  };

  ClaimTable() : ClaimTable(Limits()) {}
  explicit ClaimTable(Limits limits) : limits_(limits) {}

  /// @brief Applies the next record of the stream. A record that repeats or contradicts an earlier
  /// one has no effect.
  void Apply(const ClaimRecord& record, MonotonicTime now);

  /// @brief The first claim of a key, or nullptr. Valid until the next Apply.
  [[nodiscard]] const ClaimEntry* Find(const ClaimKey& key) const;

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  void ApplyBody(const RequestClaimed& body, MonotonicTime now);
  void ApplyBody(const RequestCompleted& body, MonotonicTime now);
  void ApplyBody(const RequestReleased& body, MonotonicTime now);
  ClaimEntry* FindClaim(const std::string& claim);
  void Erase(const std::string& claim);
  void DropAnswer(const std::string& claim);

  Limits limits_;
  std::map<ClaimKey, ClaimEntry> entries_;
  std::unordered_map<std::string, ClaimKey> keys_;
  // Claims in the order of the stream; some may have been released since.
  std::deque<std::string> claim_order_;
  // Claims with an answer in the order of the answers.
  std::deque<std::string> answer_order_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace clementineloom
