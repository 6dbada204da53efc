// gcwctl: command-line client of the operator API.

#include <fstream>
#include <iostream>
#include <string>

#include "programs/gcwctl/commands.h"

namespace {

int Exit(gcw::ExitCode code) {
  return static_cast<int>(code);
}

}  // namespace

int main(int argc, char** argv) {
  gcw::Result<gcw::CommandLine, gcw::UsageError> parsed =
      gcw::ParseCommandLine(argc, argv);
  if (!gcw::IsOk(parsed)) {
    std::cerr << gcw::ErrorOf(parsed).message << "\n\n" << gcw::HelpFor("");
    return Exit(gcw::ExitCode::kUsage);
  }
  gcw::CommandLine& line = gcw::ValueOf(parsed);
  const std::string verb = line.arguments.empty() ? "" : line.arguments.front();
  if (line.help || line.arguments.empty()) {
    (line.help ? std::cout : std::cerr) << gcw::HelpFor(verb);
    return Exit(line.help ? gcw::ExitCode::kDone : gcw::ExitCode::kUsage);
  }
  std::ifstream file(line.credential_file);
  std::string credential;
  // Reading logs needs no credential.
  if (!std::getline(file, credential) && line.log_files.empty()) {
    std::cerr
        << "cannot read the operator credential; use --credential-file FILE or "
           "set GCW_CREDENTIAL_FILE\n";
    return Exit(gcw::ExitCode::kUsage);
  }
  gcw::Commands commands(std::move(line), gcw::Secret(std::move(credential)),
                         std::cout, std::cerr);
  return Exit(commands.Run());
}
