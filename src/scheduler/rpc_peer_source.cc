#include "scheduler/rpc_peer_source.h"

#include <cstdint>

#include "codec/detail/json_reader.h"
#include "scheduler/peer_source.h"

namespace clementineloom::scheduler {

static_assert(PeerSource<RpcPeerSource>);

Result<PeerFreshness> RpcPeerSource::Ask(const std::string& address) {
  rpc::RpcClient& client = clients_.try_emplace(address, address).first->second;
  // The age refers to the time of the answer; counting from the request never understates it.
  const MonotonicTime sent_at = std::chrono::steady_clock::now();
  BOOST_LEAF_AUTO(value, client.Call("peer.view", {}, timeout_));
  BOOST_LEAF_AUTO(answer, codec::detail::JsonReader::Of(value));
  BOOST_LEAF_AUTO(applied, answer.Number<std::uint64_t>("applied_offset"));
  BOOST_LEAF_AUTO(tail, answer.Number<std::uint64_t>("tail"));
  BOOST_LEAF_AUTO(age, answer.Number<std::uint32_t>("age_ms"));
  if (applied < tail) {
    return Refuse(ResultCode::kViewStale, address);
  }
  return PeerFreshness{LogOffset(tail), sent_at - std::chrono::milliseconds(age)};
}

}  // namespace clementineloom::scheduler
