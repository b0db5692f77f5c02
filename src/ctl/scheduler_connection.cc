#include "ctl/scheduler_connection.h"

#include <utility>

namespace clementineloom::ctl {

SchedulerConnection::SchedulerConnection(const std::string& address,
                                         std::chrono::milliseconds timeout)
    : client_(address), timeout_(timeout) {}

Result<boost::json::object> SchedulerConnection::Call(const std::string& method,
                                                      const boost::json::object& params) {
  BOOST_LEAF_AUTO(value, client_.Call(method, params, timeout_));
  if (!value.is_object()) {
    return Refuse(ResultCode::kWrongType, method + ": object expected", RunState::kMayHaveRun);
  }
  return std::move(value.get_object());
}

}  // namespace clementineloom::ctl
