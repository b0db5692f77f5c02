#pragma once

#include <cstdint>
#include <string>

#include "gateway/claims_options.h"

namespace clementineloom::gateway {

/// @brief Generates the ids of this process's records on the claims stream.
///
/// Thread safety: none; one thread owns the ids.
class ClaimIds {
 public:
  explicit ClaimIds(const ClaimsOptions& options)
      : prefix_(options.instance + "/" + options.process + "/") {}

  /// @brief An unused id for a claim.
  [[nodiscard]] std::string NextClaim() { return prefix_ + std::to_string(++last_claim_); }

  /// @brief An unused id for a record that ends a claim.
  [[nodiscard]] std::string NextEnd() { return prefix_ + "end-" + std::to_string(++last_end_); }

  /// @brief Whether this process made the claim.
  [[nodiscard]] bool IsOfThisProcess(const std::string& claim) const {
    return claim.starts_with(prefix_);
  }

 private:
  const std::string prefix_;
  std::uint64_t last_claim_ = 0;
  std::uint64_t last_end_ = 0;
};

}  // namespace clementineloom::gateway
