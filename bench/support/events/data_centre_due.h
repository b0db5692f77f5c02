#pragma once

namespace clementineloom::bench {

/// @brief The changing data centre leaves or returns.
struct DataCentreDue {
  bool in_service = false;

  friend auto operator<=>(const DataCentreDue&, const DataCentreDue&) = default;
};

}  // namespace clementineloom::bench
