#ifndef BENCH_SESSION_WORKLOAD_H_
#define BENCH_SESSION_WORKLOAD_H_

#include <cstdint>
#include <vector>

#include "bench/event_queue.h"
#include "coordination/coordination.h"

namespace gcw::bench {

// Distribution of the callers' traffic. Lengths are in tokens.
struct WorkloadSettings {
  // Each team's share of the sessions; a few teams are large.
  std::vector<double> team_shares = {0.30, 0.20, 0.15, 0.10, 0.07,
                                     0.06, 0.05, 0.03, 0.02, 0.02};
  // Length range of a team's system prompt, which all its sessions share.
  std::int64_t min_system_tokens = 400;
  std::int64_t max_system_tokens = 2400;
  double mean_turns = 4;
  double mean_think_millis = 8000;
  // Message lengths are log-normal, with a Pareto tail for the share of
  // messages that carry a document.
  double message_log_median = 4.2;
  double message_log_deviation = 0.9;
  double document_share = 0.08;
  double min_document_tokens = 600;
  double document_tail = 1.5;
  std::int64_t max_message_tokens = 8000;
  double answer_log_median = 5.1;
  double answer_log_deviation = 0.9;
  std::int64_t max_answer_tokens = 2000;
  std::int64_t tokens_per_block = 16;
};

// One call of a session.
struct Turn {
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  std::vector<PrefixBlock> blocks;
};

// A conversation. Each turn's prompt consists of the previous prompt, its
// answer and a new message.
struct Session {
  std::uint64_t id = 0;
  std::size_t team = 0;
  std::int64_t turns_left = 0;
  std::int64_t context_tokens = 0;
};

// Generates random sessions, turns and pauses.
class SessionWorkload {
 public:
  SessionWorkload(const WorkloadSettings& settings, std::uint64_t seed);

  Session NewSession();
  // Advances the session by one turn.
  Turn NextTurn(Session& session);
  Micros ThinkTime();
  Micros TimeToNextSession(double sessions_per_second);
  ContractId TeamContract(std::size_t team) const;
  double mean_turns() const { return settings_.mean_turns; }

 private:
  double Exponential(double mean);
  double LogNormal(double log_median, double deviation);
  std::int64_t MessageTokens();

  WorkloadSettings settings_;
  Random random_;
  std::uint64_t salt_;
  std::uint64_t next_session_ = 1;
  std::vector<std::int64_t> system_tokens_;
};

}  // namespace gcw::bench

#endif  // BENCH_SESSION_WORKLOAD_H_
