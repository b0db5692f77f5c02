#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "fuzz_target.h"

// Runs every file of a corpus folder through the fuzz target; a failure aborts the process.
int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " CORPUS_FOLDER\n";
    return 2;
  }
  std::size_t n = 0;
  for (const auto& it : std::filesystem::directory_iterator(argv[1])) {
    std::ifstream file(it.path(), std::ios::binary);
    const std::string input{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
    ++n;
  }
  std::cout << "replayed " << n << " inputs\n";
  return n == 0 ? 1 : 0;
}
