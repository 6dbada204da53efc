// gcw-load: load generator with open-loop arrivals that checks each answer.

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "programs/gcw_load/load_command_line.h"
#include "programs/gcw_load/load_report.h"
#include "programs/gcw_load/load_run.h"

namespace {

// Writes the file with `write(std::ostream&)` unless `path` is empty. Returns
// false and prints an error if the file cannot be written.
template <typename Write>
bool WriteFile(const std::string& path, Write write) {
  if (path.empty()) {
    return true;
  }
  std::ofstream file(path);
  write(file);
  file.close();
  if (!file) {
    std::cerr << "gcw-load: cannot write " << path << '\n';
  }
  return bool(file);
}

}  // namespace

int main(int argc, char** argv) {
  auto read = gcw::ReadLoadCommandLine({argv + 1, argv + argc});
  if (const auto* ended = std::get_if<gcw::LoadExitCode>(&read)) {
    return static_cast<int>(*ended);
  }
  const gcw::LoadSettings& settings = std::get<gcw::LoadSettings>(read);
  gcw::LoadRun run(settings);
  const gcw::LoadExitCode exit = run.Run();
  if (exit == gcw::LoadExitCode::kNoEntry) {
    std::cerr << "gcw-load: none of the --entries addresses returned an entry "
                 "list; check "
                 "that a node is running there\n";
    return static_cast<int>(exit);
  }
  gcw::WriteLoadTable(run.tally(), run.keys(), std::cout);
  const bool json_written =
      WriteFile(settings.json_file, [&](std::ostream& out) {
        out << gcw::EncodeLoadResult(run.tally(), run.keys()) << '\n';
      });
  const bool keys_written = WriteFile(
      settings.keys_file, [&](std::ostream& out) { run.keys().Write(out); });
  if (exit == gcw::LoadExitCode::kDone && !(json_written && keys_written)) {
    return static_cast<int>(gcw::LoadExitCode::kFile);
  }
  return static_cast<int>(exit);
}
