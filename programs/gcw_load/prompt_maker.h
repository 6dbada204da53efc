#ifndef PROGRAMS_GCW_LOAD_PROMPT_MAKER_H_
#define PROGRAMS_GCW_LOAD_PROMPT_MAKER_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace gcw {

// Generates prompts with a common prefix and a unique rest, so that engines
// find the prefix in their caches and no two answers are the same.
class PromptMaker {
 public:
  struct Settings {
    // Length of a prompt; a prompt is longer if its unique part does not fit.
    std::size_t bytes = 256;
    // Length of the prefix that all prompts have in common.
    std::size_t shared_prefix_bytes = 0;
    // Name of the run, which makes its prompts differ from those of other runs.
    std::string run;
  };

  explicit PromptMaker(Settings settings);

  std::string Make(std::int64_t number) const;

 private:
  Settings settings_;
  std::string prefix_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_PROMPT_MAKER_H_
