#include "clementineloom/model/data_centre.h"

#include <utility>

#include "clementineloom/model/name.h"

namespace clementineloom {

Result<DataCentre> DataCentre::Create(Fields fields) {
  if (!IsValidName(fields.name)) {
    return Refuse(ResultCode::kInvalidValue, "name");
  }
  if (!IsValidName(fields.region)) {
    return Refuse(ResultCode::kInvalidValue, "region");
  }
  return DataCentre(std::move(fields));
}

}  // namespace clementineloom
