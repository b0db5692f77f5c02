#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "soak/job_shapes.h"

namespace clementineloom::soak {

/// @brief Draws jobs of given shapes; JobBodies::ProfileOf reads their payloads. Estimates are up
/// to half off, some ten times too high. A rack of data need not be able to hold its step. Thread
/// safety: copies are independent.
class ShapedJobBodies {
 public:
  explicit ShapedJobBodies(JobShapes shapes) : shapes_(std::move(shapes)) {}

  [[nodiscard]] std::string operator()(std::mt19937_64& random) const;

 private:
  [[nodiscard]] std::uint64_t GangSize(std::mt19937_64& random) const;
  [[nodiscard]] boost::json::object Step(std::uint64_t count, std::uint64_t work_ms,
                                         std::int64_t accelerators, std::mt19937_64& random) const;

  JobShapes shapes_;
};

}  // namespace clementineloom::soak
