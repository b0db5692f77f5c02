#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/worker_info.h"
#include "entry/store/topic_follower.h"

namespace clementineloom::entry {

/// @brief Follows the workers' entries and tells what changed in them.
///
/// An entry that cannot be read names no worker; the entry that it replaces is gone.
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
    OnItems(items);
  }

  void OnItems(const std::vector<TopicItem>& items) {
    for (const TopicItem& it : items) {
      Take(it.item);
    }
  }

  void Take(const workload::KeyedValue& item) {
    const auto worker = Platform::ParseWorker(item);
    if (!worker) {
      if (!item.value.empty() && unreadable_.insert(item.key).second) {
        logging::LogEvent(logging::LogLevel::kWarning, "worker_entry_ignored",
                          {{"key", item.key}, {"bytes", item.value.size()}});
      }
      Drop(item.key);
      return;
    }
    unreadable_.erase(item.key);
    const auto known = workers_.find(item.key);
    if (known == workers_.end() || known->second != *worker) {
      workers_.insert_or_assign(item.key, *worker);
      sink_.on_worker(*worker);
    }
  }

  void Drop(const std::string& id) {
    if (workers_.erase(id) > 0) {
      sink_.on_gone(id);
    }
  }

  const Sink sink_;
  std::map<std::string, workload::WorkerInfo> workers_;
  // Keys whose present entry was reported as unreadable.
  std::set<std::string> unreadable_;
  TopicFollower<Platform, Port> follower_;
};

}  // namespace clementineloom::entry
