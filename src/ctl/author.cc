#include "ctl/author.h"

#include <cstdlib>

namespace clementineloom::ctl {

void AddAuthorOption(cxxopts::Options& options) {
  // No other thread runs yet, so that getenv cannot race with a change of the environment.
  const char* user = std::getenv("USER");
  options.add_options()("author", "operator named in the audit trail",
                        cxxopts::value<std::string>()->default_value(
                            user != nullptr && *user != '\0' ? user : "operator"));
}

std::string AuthorOf(const Invocation& invocation) {
  return invocation.options["author"].as<std::string>();
}

}  // namespace clementineloom::ctl
