#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "logging/event_log.h"

// Measures what a log call costs its caller: with a destination that takes every line at once, and
// with a FIFO that nobody reads, so that the buffer fills and further lines are dropped.
//
// Usage: log_call_bench [LINES [THREADS]]
// LINES is the number for each thread, 100000 by default; THREADS is 1 by default.

namespace clementineloom {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kDefaultLines = 100'000;
constexpr std::size_t kDefaultThreads = 1;

std::vector<double> TimeCalls(std::size_t lines) {
  std::vector<double> latencies_ns;
  latencies_ns.reserve(lines);
  for (std::size_t n = 0; n < lines; ++n) {
    const auto begin = Clock::now();
    logging::LogEvent(logging::LogLevel::kInfo, "job_accepted",
                      {{"job", "00000000000000a1"}, {"record_ms", n}, {"answers", "caller"}});
    const std::chrono::duration<double, std::nano> latency = Clock::now() - begin;
    latencies_ns.push_back(latency.count());
  }
  return latencies_ns;
}

void Measure(const char* name, const std::string& file, std::size_t lines, std::size_t threads) {
  if (!logging::ConfigureLog("info", file)) {
    std::abort();
  }
  std::vector<std::vector<double>> parts(threads);
  const auto begin = Clock::now();
  {
    std::vector<std::jthread> callers;
    callers.reserve(threads);
    for (std::vector<double>& part : parts) {
      callers.emplace_back([&part, lines] { part = TimeCalls(lines); });
    }
  }
  const std::chrono::duration<double, std::nano> elapsed = Clock::now() - begin;
  std::vector<double> all;
  for (const std::vector<double>& part : parts) {
    all.insert(all.end(), part.begin(), part.end());
  }
  std::ranges::sort(all);
  const auto quantile = [&](double q) {
    return all[static_cast<std::size_t>(q * static_cast<double>(all.size() - 1))];
  };
  std::printf("%-14s threads=%zu lines=%zu ns_per_line=%.0f p50_ns=%.0f p99_ns=%.0f max_ns=%.0f\n",
              name, threads, all.size(),
              elapsed.count() * static_cast<double>(threads) / static_cast<double>(all.size()),
              quantile(0.5), quantile(0.99), all.back());
}

std::size_t Argument(int argc, char** argv, int index, std::size_t fallback) {
  std::size_t value = fallback;
  if (index < argc) {
    (void)std::from_chars(argv[index], argv[index] + std::strlen(argv[index]), value);
  }
  return value;
}

int Run(std::size_t lines, std::size_t threads) {
  Measure("writer_fast", "/dev/null", lines, threads);
  const std::string fifo =
      std::filesystem::temp_directory_path() / ("loom-log-call-" + std::to_string(getpid()));
  if (mkfifo(fifo.c_str(), S_IRUSR | S_IWUSR) != 0) {
    return 1;
  }
  // Without a reader, the log could not open the FIFO.
  const int reader = open(fifo.c_str(), O_RDONLY | O_NONBLOCK);
  Measure("writer_blocked", fifo, lines, threads);
  std::filesystem::remove(fifo);
  std::fflush(stdout);
  // An exit with handlers would wait until the lines in the buffer are written.
  std::_Exit(reader < 0 ? 1 : 0);
}

}  // namespace
}  // namespace clementineloom

int main(int argc, char** argv) {
  using clementineloom::Argument;
  return clementineloom::Run(Argument(argc, argv, 1, clementineloom::kDefaultLines),
                             Argument(argc, argv, 2, clementineloom::kDefaultThreads));
}
