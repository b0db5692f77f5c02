#pragma once

#include <optional>
#include <string>

#include "clementineloom/errors/refusal.h"

namespace clementineloom::process {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// @brief Prints to standard error why a program cannot run. @return kExitFailed
[[nodiscard]] int ReportRefusal(const Refusal& refusal);

/// @brief The settings file named on the command line of a daemon, by --settings or as the only
/// argument; nothing if --help was given and the help was printed.
///
/// Throws an exception with a message for the user if the command line cannot be parsed.
/// @param default_file used if the command line names no file; without it a file is required
[[nodiscard]] std::optional<std::string> SettingsFileOf(
    int argc, char** argv, const std::string& program, const std::string& description,
    const std::optional<std::string>& default_file = std::nullopt);

}  // namespace clementineloom::process
