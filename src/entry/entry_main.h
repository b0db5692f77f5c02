#pragma once

#include <csignal>
#include <string>

#include "entry/entry_daemon.h"
#include "logging/event_log.h"
#include "net/request_counts.h"
#include "process/command_line.h"
#include "process/ignore_broken_pipes.h"
#include "process/limit_memory_arenas.h"
#include "process/stop_signals.h"
#include "settings/load_settings.h"

namespace clementineloom::entry {

/// @brief Logs the requests of a process that ends. Thread safety: may be called from any thread.
inline void LogRequests(const net::RequestCounts& counts) {
  logging::LogEvent(logging::LogLevel::kInfo, "requests_at_exit",
                    {{"read", counts.read},
                     {"answered", counts.answered},
                     {"refused", counts.refused},
                     {"unwritten", counts.unwritten},
                     {"discarded", counts.discarded},
                     {"unanswered", counts.waiting()},
                     {"receiving", counts.receiving}});
}

/// @brief Runs the daemon until SIGTERM or SIGINT. @return the exit code of the process
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
          // Nothing to reload: all settings are addresses and limits that are fixed for the
          // lifetime of the process.
          LogEvent(LogLevel::kInfo, "reload_requested", {});
          signal = process::WaitForControlSignal();
        }
        LogEvent(LogLevel::kInfo, "draining", {{"signal", signal}});
        const std::chrono::milliseconds timeout(settings.drain_timeout_ms);
        if (!daemon->Drain(timeout)) {
          LogEvent(LogLevel::kWarning, "drain_cut_off", {{"timeout_ms", timeout.count()}});
        }
        LogRequests(daemon->request_counts());
        // Before the last line, since requests that are cut off are logged when the daemon ends.
        daemon.reset();
        LogEvent(LogLevel::kInfo, "stopped", {});
        return 0;
      },
      process::ReportRefusal);
}

/// @brief The main function of an entry daemon.
/// @param default_settings settings file used if the command line names none
template <class Platform>
int EntryMain(int argc, char** argv, const std::string& default_settings) {
  process::LimitMemoryArenas();
  process::BlockControlSignals();
  process::IgnoreBrokenPipes();
  const auto file =
      process::SettingsFileOf(argc, argv, "loom-entry",
                              "Takes jobs from callers and runs them on workers", default_settings);
  return file ? ServeEntry<Platform>(*file) : 0;
}

}  // namespace clementineloom::entry
