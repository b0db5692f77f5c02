#include "clementineloom/model/job_spec.h"

#include <utility>

#include "clementineloom/model/name.h"

namespace clementineloom {

Result<JobSpec> JobSpec::Create(Fields fields) {
  if (!IsValidName(fields.team)) {
    return Refuse(ResultCode::kInvalidValue, "team");
  }
  if (!IsValidName(fields.job_class)) {
    return Refuse(ResultCode::kInvalidValue, "job_class");
  }
  if (fields.declared_run_time < Duration::zero()) {
    return Refuse(ResultCode::kOutOfRange, "declared_run_time");
  }
  return JobSpec(std::move(fields));
}

}  // namespace clementineloom
