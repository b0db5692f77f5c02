#pragma once

#include <boost/json/object.hpp>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"
#include "platform/instance_list.h"

namespace clementineloom::platform::detail {

// JSON of the instance list. Errors of the readers: those of JsonReader, kInvalidValue (unknown
// role or state).

[[nodiscard]] boost::json::object ToJson(const Instance& instance);
[[nodiscard]] boost::json::object ToJson(const InstanceList& list);

[[nodiscard]] Result<Instance> ReadInstance(const codec::detail::JsonReader& json);
[[nodiscard]] Result<InstanceList> ReadInstanceList(const codec::detail::JsonReader& json);

}  // namespace clementineloom::platform::detail
