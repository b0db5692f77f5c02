#pragma once

#include <string>

#include "clementineloom/errors/result.h"
#include "settings/checked.h"
#include "settings/cluster_document.h"
#include "settings/entry_settings.h"
#include "settings/gateway_settings.h"
#include "settings/scheduler_settings.h"

namespace clementineloom::settings {

/// @brief Reads a file and collects all its problems.
/// Thread safety of all functions: safe from any thread.
[[nodiscard]] Checked<GatewaySettings> CheckGatewaySettings(const std::string& file);
[[nodiscard]] Checked<SchedulerSettings> CheckSchedulerSettings(const std::string& file);
[[nodiscard]] Checked<EntrySettings> CheckEntrySettings(const std::string& file);
[[nodiscard]] Checked<ClusterDocument> CheckClusterDocument(const std::string& file);

/// @brief Reads a file and refuses it if it has problems. Errors: the code of the first problem;
/// the detail lists all of them, one per line.
[[nodiscard]] Result<GatewaySettings> LoadGatewaySettings(const std::string& file);
[[nodiscard]] Result<SchedulerSettings> LoadSchedulerSettings(const std::string& file);
[[nodiscard]] Result<EntrySettings> LoadEntrySettings(const std::string& file);
[[nodiscard]] Result<ClusterDocument> LoadClusterDocument(const std::string& file);

}  // namespace clementineloom::settings
