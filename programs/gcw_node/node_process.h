#ifndef PROGRAMS_GCW_NODE_NODE_PROCESS_H_
#define PROGRAMS_GCW_NODE_NODE_PROCESS_H_

#include <memory>
#include <variant>

#include "programs/gcw_node/node_settings.h"

namespace gcw {

// Which address a node could not listen on.
enum class NodeListener { kCallers, kPeers, kOperators };

struct NodeStartError {
  NodeListener listener;
  ListenErrorKind kind;
};

// One node: its core, its threads and its servers.
class NodeProcess {
 public:
  static std::variant<std::unique_ptr<NodeProcess>, NodeStartError> Start(
      NodeSettings settings);

  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Begins a planned stop; callable from any thread.
  void BeginStop();
  // Whether the planned stop is complete.
  bool stopped() const;

 private:
  struct Parts;
  explicit NodeProcess(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> parts_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_NODE_NODE_PROCESS_H_
