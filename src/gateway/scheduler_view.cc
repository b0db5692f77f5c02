#include "gateway/scheduler_view.h"

#include <cstdint>

#include "codec/detail/json_reader.h"

namespace clementineloom::gateway {

Result<SchedulerView> FetchSchedulerView(rpc::RpcClient& scheduler,
                                         std::chrono::milliseconds timeout) {
  BOOST_LEAF_AUTO(value, scheduler.Call("peer.view", {}, timeout));
  BOOST_LEAF_AUTO(reader, codec::detail::JsonReader::Of(value));
  BOOST_LEAF_AUTO(tail, reader.Number<std::uint64_t>("tail"));
  const boost::json::value* age = value.as_object().if_contains("age_ms");
  if (age == nullptr || age->is_null()) {
    return Refuse(ResultCode::kViewStale, "the scheduler has not reached the tail of the log yet");
  }
  BOOST_LEAF_AUTO(age_ms, reader.Number<std::uint32_t>("age_ms"));
  return SchedulerView{LogOffset(tail), std::chrono::milliseconds(age_ms)};
}

}  // namespace clementineloom::gateway
