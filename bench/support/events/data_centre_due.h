#pragma once

namespace clementineloom::bench {

/// @brief The data centre under change leaves service or returns to it.
struct DataCentreDue {
  bool in_service = false;

  friend auto operator<=>(const DataCentreDue&, const DataCentreDue&) = default;
};

}  // namespace clementineloom::bench
