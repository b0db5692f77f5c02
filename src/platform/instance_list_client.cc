#include "platform/instance_list_client.h"

#include <optional>
#include <utility>

#include "platform/detail/instance_json.h"
#include "platform/detail/parse_answer.h"

namespace clementineloom::platform {
namespace {

constexpr int kOk = 200;

}  // namespace

InstanceListClient::InstanceListClient(const std::string& thread_name, std::string address,
                                       std::chrono::milliseconds timeout)
    : http_(thread_name), address_(std::move(address)), timeout_(timeout) {}

Result<InstanceList> InstanceListClient::Fetch() {
  std::optional<net::HttpResponse> response;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(answer, http_.Call(address_, {"GET", "/v1/instances", {}, {}}, timeout_));
    response.emplace(std::move(answer));
    return {};
  });
  if (refusal) {
    return Refuse(ResultCode::kInstanceListUnavailable, refusal->detail);
  }
  if (response->status != kOk) {
    return Refuse(ResultCode::kInstanceListUnavailable,
                  address_ + ": status " + std::to_string(response->status));
  }
  auto list = detail::ParseAnswer<InstanceList>(response->body, detail::ReadInstanceList);
  if (!list) {
    return Refuse(ResultCode::kInstanceListUnavailable, address_ + ": unreadable answer");
  }
  return std::move(*list);
}

}  // namespace clementineloom::platform
