#pragma once

#include <optional>
#include <string>

#include "clementineloom/errors/refusal.h"

namespace clementineloom::process {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// @brief Prints why a program cannot run to standard error. @return kExitFailed
[[nodiscard]] int ReportRefusal(const Refusal& refusal);

/// @brief The file of settings that the command line of a daemon names, by --settings or as its
/// only argument; nothing once --help was asked for and printed.
///
/// Throws an exception with a text for the user if the command line cannot be understood.
/// @param default_file where the command line names none; without one a file is required
[[nodiscard]] std::optional<std::string> SettingsFileOf(
    int argc, char** argv, const std::string& program, const std::string& description,
    const std::optional<std::string>& default_file = std::nullopt);

}  // namespace clementineloom::process
