#ifndef PROGRAMS_GCW_LOAD_PROMPT_MAKER_H_
#define PROGRAMS_GCW_LOAD_PROMPT_MAKER_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace gcw {

// Makes prompts that begin alike and go on differently, so that engines find
// the first part in their caches and no two answers are the same.
class PromptMaker {
 public:
  struct Settings {
    // Of the whole prompt; a prompt is longer where its own part does not fit.
    std::size_t bytes = 256;
    // Alike in all prompts.
    std::size_t shared_prefix_bytes = 0;
    // Keeps the prompts of this run apart from those of others.
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
