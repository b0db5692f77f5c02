#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/guarantee.h"

namespace clementineloom {

/// @brief An owner of guaranteed shapes and jobs, with its request limits.
///
/// Thread safety: an immutable value.
class Team {
 public:
  struct Fields {
    std::string name;
    std::vector<Guarantee> guarantees;
    /// Requests in progress at one gateway.
    std::uint32_t max_concurrent_requests = 64;
    /// Failed attempts that may be repeated in a sliding hour, over all jobs of the team.
    std::uint32_t retry_budget_per_hour = 60;
    bool may_borrow = true;

    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// @brief Checks the fields and creates the team.
  /// Errors: kInvalidValue (name), kTeamWithoutShape, kOutOfRange (a guarantee's count or
  /// max_concurrent_requests is 0). Without a retry budget no failed attempt is repeated.
  [[nodiscard]] static Result<Team> Create(Fields fields);

  [[nodiscard]] const std::string& name() const { return fields_.name; }
  [[nodiscard]] const std::vector<Guarantee>& guarantees() const { return fields_.guarantees; }
  [[nodiscard]] std::uint32_t max_concurrent_requests() const {
    return fields_.max_concurrent_requests;
  }
  [[nodiscard]] std::uint32_t retry_budget_per_hour() const {
    return fields_.retry_budget_per_hour;
  }
  [[nodiscard]] bool may_borrow() const { return fields_.may_borrow; }

  friend auto operator<=>(const Team&, const Team&) = default;

 private:
  explicit Team(Fields fields) : fields_(std::move(fields)) {}

  Fields fields_;
};

}  // namespace clementineloom
