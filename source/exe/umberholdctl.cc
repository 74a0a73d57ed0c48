/** @file umberholdctl: command-line client of the admin API (docs/ADMIN_API.md). */
#include <Poco/UUIDGenerator.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

#include "common/ctl/command_line.h"
#include "common/ctl/command_runner.h"

namespace umberhold {
namespace {

/** @return the first line of the file, or nothing if it is empty or can't be read. */
std::optional<std::string> readToken(const std::string& file) {
  std::ifstream stream(file);
  std::string token;
  if (!std::getline(stream, token) || token.empty()) {
    return std::nullopt;
  }
  return token;
}

std::string authorOf(const CommandLine& line) {
  if (!line.author.empty()) {
    return line.author;
  }
  const char* user = std::getenv("USER");
  return user != nullptr ? user : "unnamed";
}

ExitStatus run(const CommandLine& line) {
  if (std::holds_alternative<NoCommand>(line.command)) {
    return ExitStatus::kOk;
  }
  const std::optional<std::string> token = readToken(line.tokenFile);
  if (!token) {
    std::cerr << "error: --token-file must name a file with the token\n";
    return ExitStatus::kUsage;
  }
  HttpAdminTransport transport;
  SystemCallClock clock;
  RandomSource random(std::random_device{}());
  AdminClient client(line.servers, *token, transport, clock, random,
                     ClientLimits{std::chrono::seconds(line.timeoutSeconds)});
  const CommandContext context{
      client, clock, std::cout, std::cerr, line.output, authorOf(line), [] {
        return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
      }};
  return runCommand(context, line.command);
}

}  // namespace
}  // namespace umberhold

int main(int argc, char** argv) {
  const auto line = umberhold::parseCommandLine(std::vector<std::string>(argv, argv + argc));
  if (!umberhold::isOk(line)) {
    std::cerr << "error: " << umberhold::errorOf(line).detail << '\n';
    return static_cast<int>(umberhold::ExitStatus::kUsage);
  }
  return static_cast<int>(umberhold::run(umberhold::valueOf(line)));
}
