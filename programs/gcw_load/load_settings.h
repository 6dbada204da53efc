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

// Settings of a run.
struct LoadSettings {
  // Addresses asked for the entry list; empty if `direct` is set.
  std::vector<Address> entries;
  // Address that gets all requests; no entry list is asked for.
  std::optional<Address> direct;
  // Generation of the group of an engine that is called directly. Only if it is
  // set, the headers that nodes send to engines are sent.
  std::optional<Generation> generation;
  Secret paid_key;
  Secret trial_key;
  ArrivalPlan::Settings arrivals;
  std::uint64_t seed = 1;
  ModelId model;
  std::string service;
  TokenCount max_tokens;
  PromptMaker::Settings prompts;
  // Limit for one send.
  Duration timeout;
  int max_resends = 3;
  // Limit of concurrent requests; further arrivals are skipped and counted.
  std::int64_t max_in_flight = 5000;
  // Whether answers are compared with those of the stand-ins.
  bool reference = true;
  int threads = 1;
  // Output files; not written if the name is empty.
  std::string json_file;
  std::string keys_file;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_SETTINGS_H_
