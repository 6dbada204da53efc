#ifndef COORDINATION_GATEWAY_BALANCING_EVEN_LOAD_SETTINGS_H_
#define COORDINATION_GATEWAY_BALANCING_EVEN_LOAD_SETTINGS_H_

#include <cstddef>

namespace gcw {

struct EvenLoadSettings {
  // Whether a node prefers a few groups of each model.
  bool is_enabled = false;
  // Number of groups of a model in its data centre that a node prefers.
  std::size_t preferred_groups = 2;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_BALANCING_EVEN_LOAD_SETTINGS_H_
