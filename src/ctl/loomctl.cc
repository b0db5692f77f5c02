#include "ctl/loomctl.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cxxopts.hpp>
#include <string_view>

#include "ctl/json_format.h"
#include "ctl/table_format.h"
#include "ctl/verb_list.h"

namespace clementineloom::ctl {
namespace {

constexpr std::array<std::string_view, 2> kGlobalOptionsWithValue{"--scheduler", "--timeout-ms"};

// Moves global options before the verb to the end, so that the words begin with the verb.
void MoveLeadingOptions(std::vector<std::string>& words) {
  std::size_t n = 0;
  while (n < words.size() && words[n].starts_with("--") && words[n] != "--help") {
    const bool has_value =
        std::ranges::find(kGlobalOptionsWithValue, words[n]) != kGlobalOptionsWithValue.end();
    n += has_value ? 2 : 1;
  }
  n = std::min(n, words.size());
  std::rotate(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(n), words.end());
}

cxxopts::Options OptionsOf(const Verb& verb) {
  cxxopts::Options options("loomctl " + std::string(verb.name), std::string(verb.summary));
  options.custom_help(std::string(verb.arguments) + " [OPTIONS]");
  options.positional_help("");
  options.add_options()("scheduler", "address of a scheduler's RPC, IP:PORT",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:9100"))(
      "timeout-ms", "time to wait for each answer",
      cxxopts::value<std::uint32_t>()->default_value("10000"))(
      "json", "write JSON in place of tables")("help", "print this help")(
      "arguments", "", cxxopts::value<std::vector<std::string>>());
  if (verb.add_options != nullptr) {
    verb.add_options(options);
  }
  options.parse_positional({"arguments"});
  return options;
}

void PrintVerbHelp(std::ostream& out, const Verb& verb, const cxxopts::Options& options) {
  out << options.help() << "\nExamples:\n" << verb.examples;
}

void PrintHelp(std::ostream& out) {
  out << "Usage: loomctl VERB [ARGUMENTS] [OPTIONS]\n\nVerbs:\n";
  for (const Verb& it : Verbs()) {
    const std::string usage = std::string(it.name) + " " + std::string(it.arguments);
    constexpr std::size_t kUsageWidth = 28;
    out << "  " << usage << std::string(kUsageWidth - std::min(usage.size(), kUsageWidth - 1), ' ')
        << it.summary << "\n";
  }
  out << "\nEvery verb takes --scheduler IP:PORT, --timeout-ms N, --json and --help.\n"
         "Exit status: 0 done, 1 refused, 2 wrong usage, 3 mistakes in a file or value,\n"
         "4 configuration changed, 5 no scheduler answers, 6 outcome unknown.\n"
         "\nExamples:\n"
         "  loomctl status\n"
         "  loomctl datacentre out kolka --scheduler 10.20.1.10:9100\n"
         "  loomctl job submit --help\n";
}

template <OutputFormat Format>
ExitCode RunVerb(const Verb& verb, const Invocation& invocation, const Format& format,
                 std::ostream& out, std::ostream& err) {
  return CatchRefusal(
      [&]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(report, verb.run(invocation));
        format.Write(out, report);
        return report.exit_code;
      },
      [&](const Refusal& refusal) {
        format.Write(err, refusal);
        return ExitCodeOf(refusal);
      });
}

ExitCode UsageError(std::ostream& err, const std::string& detail) {
  TableFormat().Write(err, Refusal{ResultCode::kUsage, RunState::kDidNotRun, detail});
  return ExitCode::kUsage;
}

ExitCode RunParsed(const Verb& verb, const cxxopts::ParseResult& parsed, std::ostream& out,
                   std::ostream& err) {
  std::vector<std::string> arguments;
  if (parsed.count("arguments") > 0) {
    arguments = parsed["arguments"].as<std::vector<std::string>>();
  }
  if (arguments.size() < verb.min_arguments || arguments.size() > verb.max_arguments) {
    return UsageError(err, "loomctl " + std::string(verb.name) + " " + std::string(verb.arguments) +
                               "; see --help");
  }
  const std::chrono::milliseconds timeout(parsed["timeout-ms"].as<std::uint32_t>());
  SchedulerConnection scheduler(parsed["scheduler"].as<std::string>(), timeout);
  const Invocation invocation{std::move(arguments), parsed, scheduler};
  if (parsed.count("json") > 0) {
    return RunVerb(verb, invocation, JsonFormat(), out, err);
  }
  return RunVerb(verb, invocation, TableFormat(), out, err);
}

ExitCode RunWords(const Verb& verb, const std::vector<std::string>& words, std::ostream& out,
                  std::ostream& err) {
  std::vector<const char*> argv{"loomctl"};
  for (std::size_t n = WordCount(verb); n < words.size(); ++n) {
    argv.push_back(words[n].c_str());
  }
  cxxopts::Options options = OptionsOf(verb);
  try {
    const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      PrintVerbHelp(out, verb, options);
      return ExitCode::kOk;
    }
    return RunParsed(verb, parsed, out, err);
  } catch (const cxxopts::exceptions::exception& ex) {
    return UsageError(err, ex.what());
  }
}

}  // namespace

ExitCode RunLoomctl(std::vector<std::string> words, std::ostream& out, std::ostream& err) {
  MoveLeadingOptions(words);
  if (words.empty() || words.front() == "--help") {
    PrintHelp(out);
    return words.empty() ? ExitCode::kUsage : ExitCode::kOk;
  }
  const Verb* verb = FindVerb(words);
  if (verb == nullptr) {
    return UsageError(err, "unknown verb " + words.front() + "; see loomctl --help");
  }
  return RunWords(*verb, words, out, err);
}

}  // namespace clementineloom::ctl
