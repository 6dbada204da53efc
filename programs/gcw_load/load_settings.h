#ifndef PROGRAMS_GCW_LOAD_LOAD_SETTINGS_H_
#define PROGRAMS_GCW_LOAD_LOAD_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "programs/gcw_load/arrival_plan.h"
#include "programs/gcw_load/prompt_maker.h"
#include "transport/transport.h"

namespace gcw {

// What one run does.
struct LoadSettings {
  // Asked for the addresses to use; empty with `direct`.
  std::vector<Address> entries;
  // Takes all requests, without asking for addresses.
  std::optional<Address> direct;
  // Of the group of an engine that is called directly; the headers between
  // nodes and engines are sent only then.
  std::optional<Generation> generation;
  Secret paid_key;
  Secret trial_key;
  ArrivalPlan::Settings arrivals;
  std::uint64_t seed = 1;
  ModelId model;
  std::string service;
  TokenCount max_tokens;
  PromptMaker::Settings prompts;
  // Of one send.
  Duration timeout;
  int resends = 3;
  // Requests open at once; more are skipped and counted.
  std::int64_t most_open = 5000;
  // Answers are compared with those of the stand-ins.
  bool reference = true;
  int threads = 1;
  // Not written where empty.
  std::string json_file;
  std::string keys_file;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_SETTINGS_H_
