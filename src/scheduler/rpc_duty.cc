#include "scheduler/rpc_duty.h"

#include <memory>
#include <utility>

#include "scheduler/operator/operator_json.h"

namespace clementineloom::scheduler {
namespace {

// The decision duty answers at the deadline; this margin covers a duty that is busy at that time.
constexpr std::chrono::milliseconds kReplyMargin{500};

}  // namespace

std::vector<std::string> RpcDuty::Methods() {
  return {"config.get", "config.plan", "config.confirm", "job.submit", "job.get",  "job.list",
          "job.cancel", "job.explain", "worker.list",    "status.get", "peer.view"};
}

Result<boost::json::value> RpcDuty::Handle(const rpc::RpcCall& call) const {
  BOOST_LEAF_AUTO(request, ReadOperatorRequest(call));
  const auto reply = std::make_shared<ReplyRing>(1);
  const MonotonicTime deadline = std::chrono::steady_clock::now() + timeout_;
  if (!decisions_.TryPush(OperatorCall{std::move(request), deadline, reply})) {
    metrics_.Count("loom_refusals_total", "reason", "queue_full");
    return Refuse(ResultCode::kQueueFull, "the decision queue is full");
  }
  const auto answer = reply->PopFor(timeout_ + kReplyMargin);
  if (!answer) {
    return Refuse(ResultCode::kAppendUnknown, "the decision duty did not answer in time",
                  RunState::kMayHaveRun);
  }
  return WriteOperatorAnswer(*answer);
}

}  // namespace clementineloom::scheduler
