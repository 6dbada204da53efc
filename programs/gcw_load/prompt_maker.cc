#include "programs/gcw_load/prompt_maker.h"

#include <string_view>
#include <utility>

namespace gcw {
namespace {

constexpr std::string_view kFiller = "the weir keeps the river in its bed, ";

void FillTo(std::string& text, std::size_t bytes) {
  while (text.size() < bytes) {
    text += kFiller.substr(0, bytes - text.size());
  }
}

}  // namespace

PromptMaker::PromptMaker(Settings settings) : settings_(std::move(settings)) {
  FillTo(prefix_, settings_.shared_prefix_bytes);
}

std::string PromptMaker::Make(std::int64_t number) const {
  std::string prompt = prefix_;
  prompt += '#' + settings_.run + '-' + std::to_string(number) + ' ';
  FillTo(prompt, settings_.bytes);
  return prompt;
}

}  // namespace gcw
