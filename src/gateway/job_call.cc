#include "gateway/job_call.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <utility>

namespace clementineloom::gateway {
namespace {

namespace json = boost::json;

constexpr std::string_view kJobs = "/v1/jobs";

Result<std::uint64_t> ReadJobId(std::string_view target) {
  if (!target.starts_with(std::string(kJobs) + "/")) {
    return Refuse(ResultCode::kMalformedRequest, "the target does not name a job");
  }
  const std::string_view text = target.substr(kJobs.size() + 1);
  std::uint64_t id = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return Refuse(ResultCode::kUnknownJob, std::string(text));
  }
  return id;
}

Result<rpc::RpcCall> SubmitCallOf(const CallerRequest& request, const std::string& default_key) {
  boost::system::error_code ec;
  json::value spec = json::parse(request.request.body, ec);
  if (ec || !spec.is_object()) {
    return Refuse(ResultCode::kMalformedDocument, "the body is not a JSON object");
  }
  const json::value* team = spec.as_object().if_contains("team");
  const bool is_own_team =
      team != nullptr && team->is_string() && team->as_string() == request.team;
  if (!request.team.empty() && !is_own_team) {
    return Refuse(ResultCode::kInvalidValue, "team of the specification differs from X-Team");
  }
  const std::string key(request.request.headers.Find("Idempotency-Key"));
  return rpc::RpcCall{"job.submit",
                      {{"key", key.empty() ? default_key : key}, {"spec", std::move(spec)}}};
}

}  // namespace

bool IsJobTarget(const std::string& target) {
  return target == kJobs || target.starts_with(std::string(kJobs) + "/");
}

Result<rpc::RpcCall> JobCallOf(const CallerRequest& request, const std::string& default_key) {
  const std::string& method = request.request.method;
  if (method == "POST" && request.request.target == kJobs) {
    return SubmitCallOf(request, default_key);
  }
  BOOST_LEAF_AUTO(job, ReadJobId(request.request.target));
  if (method == "GET") {
    return rpc::RpcCall{"job.get", {{"job", job}}};
  }
  if (method == "DELETE") {
    return rpc::RpcCall{"job.cancel", {{"jobs", json::array{job}}}};
  }
  return Refuse(ResultCode::kMalformedRequest, method + " is not supported for jobs");
}

}  // namespace clementineloom::gateway
