#pragma once

#include <vector>

#include "settings/common_settings.h"
#include "settings/entry_settings.h"
#include "settings/gateway_settings.h"
#include "settings/scheduler_settings.h"
#include "settings/settings_field.h"

namespace clementineloom::settings {

/// @brief Keys that loom-gateway and loom-scheduler share. Thread safety of all: constant data.
[[nodiscard]] const std::vector<SettingsField<CommonSettings>>& CommonFields();

/// @brief Keys of loom-gateway besides the common ones.
[[nodiscard]] const std::vector<SettingsField<GatewaySettings>>& GatewayFields();

/// @brief Keys of loom-scheduler besides the common ones.
[[nodiscard]] const std::vector<SettingsField<SchedulerSettings>>& SchedulerFields();

/// @brief Keys of loom-entry, which shares none with the other daemons' files.
[[nodiscard]] const std::vector<SettingsField<EntrySettings>>& EntryFields();

}  // namespace clementineloom::settings
