#include <iostream>
#include <string>
#include <vector>

#include "ctl/loomctl.h"

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  return static_cast<int>(clementineloom::ctl::RunLoomctl(words, std::cout, std::cerr));
}
