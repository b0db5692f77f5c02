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
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/worker_info.h"
#include "entry/owner/named_services.h"
#include "entry/store/read_size.h"
#include "entry/store/topic_follower.h"

namespace clementineloom::entry {

/// @brief Follows the workers' entries and reports changes to its sink.
///
/// An entry that cannot be parsed, or whose service no configuration names, counts as no worker,
/// since another writer may have left it: the worker of the entry that it replaced is no longer
/// listed, what is known of it remains, and other workers are unaffected. It is logged once while
/// its key is present. An entry counts from the moment at which its service is named.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class WorkerDirectory {
 public:
  struct Sink {
    std::function<void(const workload::WorkerInfo&)> on_worker;
    std::function<void(const std::string&)> on_gone;
    /// Runs after the changes of each read, with the time up to which all entries are known.
    std::function<void(workload::SteadyTime)> on_read;
  };

  WorkerDirectory(Port& port, StoreEndpoint endpoint, NamedServices services, Sink sink)
      : services_(std::move(services)),
        sink_(std::move(sink)),
        follower_(port, std::move(endpoint), ReadOptions(),
                  {[this](const auto& items) { OnReload(items); },
                   [this](const auto& items) { OnItems(items); },
                   {}}) {}

  void Start() { follower_.Start(); }

  /// @brief Lists the workers whose service a new configuration names.
  void OnServicesChanged() {
    for (auto it = unnamed_.begin(); it != unnamed_.end();) {
      if (services_.Contains(it->second.service)) {
        SetWorker(it->second);
        it = unnamed_.erase(it);
      } else {
        ++it;
      }
    }
  }

 private:
  // Heartbeats arrive continuously and are read in batches, but a drain has to be noticed well
  // within a second. Only the owner reads them, so that its reads may be large.
  static TopicFollowerOptions ReadOptions() {
    TopicFollowerOptions options;
    options.pause = workload::Milliseconds(250);
    options.read_kilobytes = ReadSize::kMaxKilobytes;
    return options;
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
      RemoveWorker(it);
    }
    std::erase_if(logged_keys_,
                  [&present](const std::string& it) { return !present.contains(it); });
    std::erase_if(unnamed_, [&present](const auto& it) { return !present.contains(it.first); });
    OnItems(items);
  }

  void OnItems(const std::vector<TopicItem>& items) {
    for (const TopicItem& it : items) {
      ApplyEntry(it.item);
    }
    sink_.on_read(follower_.complete_until());
  }

  void ApplyEntry(const workload::KeyedValue& item) {
    unnamed_.erase(item.key);
    if (item.value.empty()) {
      logged_keys_.erase(item.key);
      RemoveWorker(item.key);
      return;
    }
    const auto worker = ParseEntry(item);
    if (!worker) {
      RemoveWorker(item.key);
      return;
    }
    if (!services_.Contains(worker->service)) {
      LogIgnoredEntry(item, {.code = ResultCode::kInvalidValue, .detail = "service"});
      unnamed_.insert_or_assign(item.key, *worker);
      RemoveWorker(item.key);
      return;
    }
    SetWorker(*worker);
  }

  void SetWorker(const workload::WorkerInfo& worker) {
    const auto known = workers_.find(worker.id);
    if (known == workers_.end() || known->second != worker) {
      workers_.insert_or_assign(worker.id, worker);
      sink_.on_worker(worker);
    }
  }

  std::optional<workload::WorkerInfo> ParseEntry(const workload::KeyedValue& item) {
    return CatchRefusal(
        [&item]() -> Result<std::optional<workload::WorkerInfo>> {
          BOOST_LEAF_AUTO(worker, Platform::ParseWorker(item));
          return std::optional(std::move(worker));
        },
        [this, &item](const Refusal& refusal) {
          LogIgnoredEntry(item, refusal);
          return std::optional<workload::WorkerInfo>();
        });
  }

  void LogIgnoredEntry(const workload::KeyedValue& item, const Refusal& refusal) {
    if (logged_keys_.insert(item.key).second) {
      logging::LogEvent(logging::LogLevel::kWarning, "worker_entry_ignored",
                        {{"key", item.key},
                         {"bytes", item.value.size()},
                         {"code", static_cast<int>(refusal.code)},
                         {"detail", refusal.detail}});
    }
  }

  void RemoveWorker(const std::string& id) {
    if (workers_.erase(id) > 0) {
      sink_.on_gone(id);
    }
  }

  const NamedServices services_;
  const Sink sink_;
  std::map<std::string, workload::WorkerInfo> workers_;
  // Present entries whose service no configuration names.
  std::map<std::string, workload::WorkerInfo> unnamed_;
  // Present keys for which an ignored entry was logged.
  std::set<std::string> logged_keys_;
  TopicFollower<Platform, Port> follower_;
};

}  // namespace clementineloom::entry
