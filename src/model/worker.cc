#include "clementineloom/model/worker.h"

#include <utility>

#include "clementineloom/model/name.h"

namespace clementineloom {

Result<Worker> Worker::Create(Fields fields) {
  if (!IsValidName(fields.name)) {
    return Refuse(ResultCode::kInvalidValue, "name");
  }
  if (!IsValidName(fields.data_centre)) {
    return Refuse(ResultCode::kInvalidValue, "data_centre");
  }
  if (!IsValidName(fields.rack)) {
    return Refuse(ResultCode::kInvalidValue, "rack");
  }
  if (fields.accelerators == 0 || fields.slots == 0 || fields.connections == 0) {
    return Refuse(ResultCode::kOutOfRange, "capacity");
  }
  return Worker(std::move(fields));
}

}  // namespace clementineloom
