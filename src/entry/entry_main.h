#pragma once

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "clementineloom/errors/result_code_table.h"
#include "entry/entry_daemon.h"
#include "logging/event_log.h"
#include "process/limit_memory_arenas.h"
#include "process/stop_signals.h"
#include "settings/load_settings.h"

namespace clementineloom::entry {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// @brief Serves until SIGTERM or SIGINT. @return the exit code of the process
template <class Platform>
int ServeEntry(const std::string& file) {
  using logging::LogEvent;
  using logging::LogLevel;
  return CatchRefusal(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(settings, settings::LoadEntrySettings(file));
        BOOST_LEAF_CHECK(logging::ConfigureLog(settings.log_level, "-"));
        BOOST_LEAF_AUTO(daemon, EntryDaemon<Platform>::Start(settings));
        LogEvent(LogLevel::kInfo, "started",
                 {{"instance", settings.instance}, {"data_centre", settings.data_centre}});
        int signal = process::WaitForControlSignal();
        while (signal == SIGHUP) {
          // All settings concern addresses and bounds that hold for the life of the process.
          LogEvent(LogLevel::kInfo, "reload_requested", {});
          signal = process::WaitForControlSignal();
        }
        LogEvent(LogLevel::kInfo, "draining", {{"signal", signal}});
        const std::chrono::milliseconds timeout(settings.drain_timeout_ms);
        if (!daemon->Drain(timeout)) {
          LogEvent(LogLevel::kWarning, "drain_cut_off", {{"timeout_ms", timeout.count()}});
        }
        LogEvent(LogLevel::kInfo, "stopped", {});
        return 0;
      },
      [](const Refusal& refusal) {
        std::cerr << ResultCodeName(refusal.code) << ": " << refusal.detail << "\n";
        return kExitFailed;
      });
}

/// @brief The main function of an entry daemon.
/// @param default_settings file of settings where the command line names none
template <class Platform>
int EntryMain(int argc, char** argv, const std::string& default_settings) {
  process::LimitMemoryArenas();
  process::BlockControlSignals();
  cxxopts::Options options("loom-entry", "Takes jobs from callers and runs them on workers");
  options.add_options()("settings", "file of settings (JSON with comments)",
                        cxxopts::value<std::string>()->default_value(default_settings))(
      "help", "print this help");
  options.parse_positional({"settings"});
  options.positional_help("SETTINGS");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  return ServeEntry<Platform>(parsed["settings"].as<std::string>());
}

}  // namespace clementineloom::entry
