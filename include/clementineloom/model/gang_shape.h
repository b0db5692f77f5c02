#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/adjacency.h"

namespace clementineloom {

/// @brief Accelerators per worker, number of workers, and their required adjacency.
///
/// Thread safety: an immutable value.
class GangShape {
 public:
  struct Fields {
    std::uint16_t accelerators_per_worker = 1;
    std::uint16_t workers = 1;
    Adjacency adjacency = Adjacency::kWorker;

    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  static constexpr std::uint16_t kMaxAcceleratorsPerWorker = 64;
  static constexpr std::uint16_t kMaxWorkers = 512;

  /// @brief Checks the fields and creates the shape.
  /// Errors: kOutOfRange (a number is 0 or above its maximum), kInvalidValue (several workers with
  /// adjacency kWorker).
  [[nodiscard]] static Result<GangShape> Create(Fields fields);

  [[nodiscard]] std::uint16_t accelerators_per_worker() const {
    return fields_.accelerators_per_worker;
  }
  [[nodiscard]] std::uint16_t workers() const { return fields_.workers; }
  [[nodiscard]] Adjacency adjacency() const { return fields_.adjacency; }
  [[nodiscard]] std::uint32_t total_accelerators() const {
    return std::uint32_t{fields_.accelerators_per_worker} * fields_.workers;
  }

  friend auto operator<=>(const GangShape&, const GangShape&) = default;

 private:
  explicit GangShape(Fields fields) : fields_(fields) {}

  Fields fields_;
};

}  // namespace clementineloom
