/** @file day_check FILE...: validates files of days (day_file.h) and prints the first error of
 * each. Exits with 1 if a file is invalid or none is given. */
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "bench/day_check/day_file.h"

int main(int argc, char** argv) {
  bool allValid = argc > 1;
  for (int index = 1; index < argc; ++index) {
    const std::filesystem::path path(argv[index]);
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    const auto checked = umberhold::day_check::checkDay(text, path.stem().string());
    if (!umberhold::isOk(checked)) {
      const auto& error = umberhold::errorOf(checked);
      std::cerr << path.string() << ":" << error.line << ": " << error.reason << "\n";
      allValid = false;
    }
  }
  return allValid ? 0 : 1;
}
