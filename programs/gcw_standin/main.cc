#include <string>
#include <vector>

#include "programs/gcw_standin/commands.h"

int main(int argc, char** argv) {
  return gcw::RunStandin(std::vector<std::string>(argv + 1, argv + argc));
}
