#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/model/adjacency.h"
#include "clementineloom/model/gang_shape.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::bench {

/// @brief Free accelerators of the placeable workers, by data centre, rack and worker.
///
/// Deliberately independent of the library's placement code, which it is used to check.
/// Thread safety: none.
class FreeMap {
 public:
  /// A worker that may get new work.
  struct Row {
    std::uint32_t worker = 0;
    std::uint32_t rack = 0;
    std::uint32_t data_centre = 0;
    std::uint16_t free = 0;

    friend auto operator<=>(const Row&, const Row&) = default;
  };

  /// @brief The free accelerators of a state.
  static FreeMap OfState(const ClusterState& state);
  /// @brief The accelerators of a state as if no job held any.
  static FreeMap OfEmptyState(const ClusterState& state);

  [[nodiscard]] const std::vector<Row>& rows() const { return rows_; }
  [[nodiscard]] std::vector<Row>& rows() { return rows_; }
  [[nodiscard]] std::uint32_t total() const;

  /// @brief Number of a row's domain: worker, rack or data centre.
  [[nodiscard]] static std::uint32_t DomainOf(const Row& row, Adjacency adjacency);

  /// @brief All domains of a kind that have a row, in ascending order.
  [[nodiscard]] std::vector<std::uint32_t> Domains(Adjacency adjacency) const;

  /// @brief Takes accelerators for a gang from the domain, from the fullest workers that fit.
  /// @return whether the whole gang fitted; otherwise nothing is taken
  bool Take(std::uint32_t domain, Adjacency adjacency, std::uint32_t workers,
            std::uint16_t accelerators);

  friend auto operator<=>(const FreeMap&, const FreeMap&) = default;

 private:
  std::vector<Row> rows_;
};

}  // namespace clementineloom::bench
