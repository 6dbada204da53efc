// Plays clients, replicas and the platform around the system's own processes.
// Usage: standin SCENARIO GATEWAY_PROGRAM RECORD_FILE TEMPORARY_FOLDER
// Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.

#include "scenarios.h"

int main(int argc, char** argv) {
  if (argc != 5) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  review::Now();
  const std::string scenario = argv[1];
  const bool is_deadly = scenario == "deadly";
  review::World world(argv[2], argv[3], argv[4], has_trouble,
                      is_deadly || scenario == "cold" ? 7 : 2,
                      is_deadly ? 16 : 3);
  int result = 2;
  if (scenario == "stop") {
    result = review::RunStop(world);
  } else if (scenario == "uploads") {
    result = review::RunUploads(world);
  } else if (scenario == "settings") {
    result = review::RunSettings(world);
  } else if (scenario == "cold") {
    result = review::RunCold(world);
  } else if (is_deadly) {
    result = review::RunDeadly(world);
  }
  world.End();
  world.record.Add("result %d", result);
  // Threads of the stand-ins are still running.
  _exit(result);
}
