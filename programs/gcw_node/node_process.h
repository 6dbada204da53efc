#ifndef PROGRAMS_GCW_NODE_NODE_PROCESS_H_
#define PROGRAMS_GCW_NODE_NODE_PROCESS_H_

#include <memory>
#include <variant>

#include "programs/gcw_node/node_settings.h"

namespace gcw {

// The listeners of a node.
enum class NodeListener { kCallers, kPeers, kOperators };

struct NodeStartError {
  NodeListener listener;
  ListenErrorKind kind;
};

// Owns a running node: its core, threads and servers.
class NodeProcess {
 public:
  static std::variant<std::unique_ptr<NodeProcess>, NodeStartError> Start(
      NodeSettings settings);

  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Begins a planned stop; callable from any thread.
  void BeginStop();
  // True once a planned stop is complete.
  bool stopped() const;

 private:
  struct Parts;
  explicit NodeProcess(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> parts_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_NODE_NODE_PROCESS_H_
