#include "soak/soak_source.h"

#include "soak/job_bodies.h"
#include "soak/shaped_job_bodies.h"

namespace clementineloom::soak {

std::vector<SoakSource> SourcesOf(JobMix mix) {
  constexpr double kThird = 1.0 / 3;
  if (mix == JobMix::kPlain) {
    return {3, {kPlainQueue, kThird, JobBodies()}};
  }
  // Urgent jobs go on while the others end.
  return {{kStandardQueue, 0.15, ShapedJobBodies(JobShapes::Standard())},
          {kBatchQueue, 0.25, ShapedJobBodies(JobShapes::Batch())},
          {kUrgentQueue, 0.6, ShapedJobBodies(JobShapes::Urgent())}};
}

}  // namespace clementineloom::soak
