#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/errors/result.h"
#include "clementineloom/workload/worker_info.h"
#include "entry/store/topic_follower.h"

namespace clementineloom::entry {

/// @brief Follows the workers' entries and tells what changed in them.
///
/// An entry that another writer left and that cannot be used names no worker; the entry that it
/// replaces is gone, and the others hold. It is logged once while its key is present.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class WorkerDirectory {
 public:
  struct Sink {
    std::function<void(const workload::WorkerInfo&)> on_worker;
    std::function<void(const std::string&)> on_gone;
  };

  WorkerDirectory(Port& port, StoreEndpoint endpoint, Sink sink)
      : sink_(std::move(sink)),
        follower_(port, std::move(endpoint), Pace(),
                  {[this](const auto& items) { OnReload(items); },
                   [this](const auto& items) { OnItems(items); },
                   {}}) {}

  void Start() { follower_.Start(); }

 private:
  // Heartbeats come all the time; a drain has to be seen well within a second.
  static TopicFollowerOptions Pace() {
    TopicFollowerOptions pace;
    pace.pause = workload::Milliseconds(250);
    return pace;
  }

  void OnReload(const std::vector<TopicItem>& items) {
    std::set<std::string> present;
    for (const TopicItem& it : items) {
      present.insert(it.item.key);
    }
    std::vector<std::string> gone;
    for (const auto& [id, info] : workers_) {
      if (!present.contains(id)) {
        gone.push_back(id);
      }
    }
    for (const std::string& it : gone) {
      Drop(it);
    }
    std::erase_if(reported_, [&present](const std::string& it) { return !present.contains(it); });
    OnItems(items);
  }

  void OnItems(const std::vector<TopicItem>& items) {
    for (const TopicItem& it : items) {
      Take(it.item);
    }
  }

  void Take(const workload::KeyedValue& item) {
    if (item.value.empty()) {
      reported_.erase(item.key);
      Drop(item.key);
      return;
    }
    const auto worker = Read(item);
    if (!worker) {
      Drop(item.key);
      return;
    }
    const auto known = workers_.find(item.key);
    if (known == workers_.end() || known->second != *worker) {
      workers_.insert_or_assign(item.key, *worker);
      sink_.on_worker(*worker);
    }
  }

  std::optional<workload::WorkerInfo> Read(const workload::KeyedValue& item) {
    return CatchRefusal(
        [&item]() -> Result<std::optional<workload::WorkerInfo>> {
          BOOST_LEAF_AUTO(worker, Platform::ParseWorker(item));
          return std::optional(std::move(worker));
        },
        [this, &item](const Refusal& refusal) {
          Report(item, refusal);
          return std::optional<workload::WorkerInfo>();
        });
  }

  void Report(const workload::KeyedValue& item, const Refusal& refusal) {
    if (reported_.insert(item.key).second) {
      logging::LogEvent(logging::LogLevel::kWarning, "worker_entry_ignored",
                        {{"key", item.key},
                         {"bytes", item.value.size()},
                         {"code", static_cast<int>(refusal.code)},
                         {"detail", refusal.detail}});
    }
  }

  void Drop(const std::string& id) {
    if (workers_.erase(id) > 0) {
      sink_.on_gone(id);
    }
  }

  const Sink sink_;
  std::map<std::string, workload::WorkerInfo> workers_;
  // Keys of which an entry was reported as one that names no worker.
  std::set<std::string> reported_;
  TopicFollower<Platform, Port> follower_;
};

}  // namespace clementineloom::entry
