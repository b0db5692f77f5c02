#pragma once

#include <compare>
#include <string>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/gang_shape.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_priority.h"

namespace clementineloom {

/// @brief What a caller asks for when it submits a job. An immutable value.
class JobSpec {
 public:
  struct Fields {
    std::string team;
    /// Groups jobs whose run times are alike; estimates are learnt for each team and class.
    std::string job_class;
    GangShape shape;
    JobPriority priority = JobPriority::kNormal;
    /// As declared by the caller; may be wrong by 10 times either way.
    Duration declared_run_time{0};
    /// Opaque to the scheduler; handed to the workers with the start command.
    std::string command;

    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// @brief Checks the fields and creates the specification.
  /// Errors: kInvalidValue (team or class is empty, too long or otherwise not a valid name),
  /// kOutOfRange (negative run time).
  [[nodiscard]] static Result<JobSpec> Create(Fields fields);

  [[nodiscard]] const std::string& team() const { return fields_.team; }
  [[nodiscard]] const std::string& job_class() const { return fields_.job_class; }
  [[nodiscard]] const GangShape& shape() const { return fields_.shape; }
  [[nodiscard]] JobPriority priority() const { return fields_.priority; }
  [[nodiscard]] Duration declared_run_time() const { return fields_.declared_run_time; }
  [[nodiscard]] const std::string& command() const { return fields_.command; }

  friend auto operator<=>(const JobSpec&, const JobSpec&) = default;

 private:
  explicit JobSpec(Fields fields) : fields_(std::move(fields)) {}

  Fields fields_;
};

}  // namespace clementineloom
