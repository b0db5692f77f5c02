#pragma once

#include <algorithm>
#include <cstddef>

#include "clementineloom/workload/steady_time.h"
#include "entry/store/topic_follower_options.h"

namespace clementineloom::entry {

/// @brief Options of an instance that shares the read capacity of the store with its peers: the
/// pause between reads grows with the number of instances.
/// Thread safety: may be called from any thread.
[[nodiscard]] inline TopicFollowerOptions SharedReadOptions(std::size_t peers) {
  constexpr workload::Milliseconds kPausePerPeer{5};
  constexpr std::size_t kMaxPeers = 60;
  TopicFollowerOptions options;
  options.pause += kPausePerPeer * std::min(peers, kMaxPeers);
  return options;
}

/// @brief Options with a short pause, for views whose age delays decisions.
/// Thread safety: may be called from any thread.
[[nodiscard]] inline TopicFollowerOptions PromptReadOptions() {
  TopicFollowerOptions options;
  options.pause = workload::Milliseconds(15);
  return options;
}

}  // namespace clementineloom::entry
