#include "process/command_line.h"

#include <cxxopts.hpp>
#include <iostream>

#include "clementineloom/errors/result_code_table.h"

namespace clementineloom::process {

int ReportRefusal(const Refusal& refusal) {
  std::cerr << ResultCodeName(refusal.code) << ": " << refusal.detail << "\n";
  return kExitFailed;
}

std::optional<std::string> SettingsFileOf(int argc, char** argv, const std::string& program,
                                          const std::string& description,
                                          const std::optional<std::string>& default_file) {
  const auto file = cxxopts::value<std::string>();
  if (default_file) {
    file->default_value(*default_file);
  }
  cxxopts::Options options(program, description);
  options.add_options()("settings", "file of settings (JSON with comments)", file)(
      "help", "print this help");
  options.parse_positional({"settings"});
  options.positional_help("SETTINGS");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return std::nullopt;
  }
  return parsed["settings"].as<std::string>();
}

}  // namespace clementineloom::process
