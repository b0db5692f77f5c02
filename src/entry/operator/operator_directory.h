#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "entry/operator/operator_item.h"
#include "entry/operator/operator_view.h"
#include "entry/port/call_port.h"
#include "entry/store/read_options.h"
#include "entry/store/store_endpoint.h"
#include "entry/store/topic_follower.h"
#include "entry/store/topic_item.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Follows the items published by operators and keeps the operator view up to date.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class OperatorDirectory {
 public:
  /// Runs after each read that was applied to the view. The argument tells whether the view changed
  /// or became current.
  using OnRead = std::function<void(bool)>;

  /// Precondition: the references outlive the directory.
  OperatorDirectory(Port& port, StoreEndpoint endpoint, OperatorView& view, OnRead on_read)
      : port_(port),
        view_(view),
        on_read_(std::move(on_read)),
        follower_(port, std::move(endpoint), PromptReadOptions(),
                  {[this](const auto& items) { OnReload(items); },
                   [this](const auto& items) { OnItems(items); },
                   {}}) {}

  /// @brief Starts following the topic. Call once.
  void Start() { follower_.Start(); }

 private:
  void OnReload(const std::vector<TopicItem>& items) {
    view_.RestoreAll();
    OnItems(items);
  }

  void OnItems(const std::vector<TopicItem>& items) {
    for (const TopicItem& it : items) {
      Apply(it.item);
    }
    const bool was_current = view_.IsCurrent(port_.Now());
    view_.NoteComplete(follower_.complete_until());
    on_read_(!items.empty() || !was_current);
  }

  void Apply(const workload::KeyedValue& item) {
    if (const auto data_centre = Platform::EvacuatedDataCentre(item.key)) {
      ApplyEvacuation(*data_centre, !item.value.empty());
    } else if (!item.value.empty()) {
      ApplyConfig(item);
    }
  }

  void ApplyEvacuation(const std::string& data_centre, bool is_active) {
    logging::LogEvent(logging::LogLevel::kInfo, "evacuation",
                      {{"data_centre", data_centre}, {"active", is_active ? 1 : 0}});
    is_active ? view_.Evacuate(data_centre) : view_.Restore(data_centre);
  }

  void ApplyConfig(const workload::KeyedValue& item) {
    OperatorItem parsed = Platform::ParseOperatorItem(item);
    auto* config = std::get_if<workload::WorkloadConfig>(&parsed);
    if (config == nullptr) {
      logging::LogEvent(logging::LogLevel::kWarning, "operator_item_ignored", {{"key", item.key}});
      return;
    }
    const std::uint64_t version = config->version;
    if (view_.Offer(std::move(*config))) {
      logging::LogEvent(logging::LogLevel::kInfo, "config_in_force", {{"version", version}});
    }
  }

  Port& port_;
  OperatorView& view_;
  const OnRead on_read_;
  TopicFollower<Platform, Port> follower_;
};

}  // namespace clementineloom::entry
