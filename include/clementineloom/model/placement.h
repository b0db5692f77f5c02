#pragma once

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

#include "clementineloom/model/allocation.h"
#include "clementineloom/model/capacity_kind.h"
#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief The workers chosen for one attempt of a job. An immutable value.
class Placement {
 public:
  struct Fields {
    JobId job;
    std::uint32_t attempt = 1;
    CapacityKind kind = CapacityKind::kBorrowed;
    /// Index into the team's guarantees; only meaningful for kGuaranteed.
    std::uint16_t guarantee_index = 0;
    /// Which of the guarantee's identical shapes is used; only meaningful for kGuaranteed.
    std::uint16_t guarantee_instance = 0;
    std::vector<Allocation> allocations;

    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  explicit Placement(Fields fields) : fields_(std::move(fields)) {}

  [[nodiscard]] JobId job() const { return fields_.job; }
  [[nodiscard]] std::uint32_t attempt() const { return fields_.attempt; }
  [[nodiscard]] CapacityKind kind() const { return fields_.kind; }
  [[nodiscard]] std::uint16_t guarantee_index() const { return fields_.guarantee_index; }
  [[nodiscard]] std::uint16_t guarantee_instance() const { return fields_.guarantee_instance; }
  [[nodiscard]] const std::vector<Allocation>& allocations() const { return fields_.allocations; }

  friend auto operator<=>(const Placement&, const Placement&) = default;

 private:
  Fields fields_;
};

}  // namespace clementineloom
