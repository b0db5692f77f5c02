#include "clementineloom/model/gang_shape.h"

namespace clementineloom {

Result<GangShape> GangShape::Create(Fields fields) {
  if (fields.accelerators_per_worker == 0 ||
      fields.accelerators_per_worker > kMaxAcceleratorsPerWorker) {
    return Refuse(ResultCode::kOutOfRange, "accelerators_per_worker");
  }
  if (fields.workers == 0 || fields.workers > kMaxWorkers) {
    return Refuse(ResultCode::kOutOfRange, "workers");
  }
  if (fields.workers > 1 && fields.adjacency == Adjacency::kWorker) {
    return Refuse(ResultCode::kInvalidValue, "adjacency");
  }
  return GangShape(fields);
}

}  // namespace clementineloom
