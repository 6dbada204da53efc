#include "bench/session_workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>

namespace gcw::bench {
namespace {

PrefixBlock BlockName(std::uint64_t owner, std::int64_t position) {
  return SeededRandom(owner * 0x10001 + static_cast<std::uint64_t>(position))();
}

}  // namespace

SessionWorkload::SessionWorkload(const WorkloadSettings& settings,
                                 std::uint64_t seed)
    : settings_(settings), random_(SeededRandom(seed)), salt_(random_()) {
  const std::int64_t span =
      settings_.max_system_tokens - settings_.min_system_tokens;
  for (std::size_t team = 0; team < settings_.team_shares.size(); ++team) {
    const auto extra = static_cast<double>(span) * DrawUnit(random_);
    system_tokens_.push_back(settings_.min_system_tokens +
                             static_cast<std::int64_t>(extra));
  }
}

Session SessionWorkload::NewSession() {
  double draw = DrawUnit(random_);
  std::size_t team = 0;
  while (team + 1 < settings_.team_shares.size() &&
         draw >= settings_.team_shares[team]) {
    draw -= settings_.team_shares[team];
    ++team;
  }
  const double extra_turns = Exponential(settings_.mean_turns - 0.5);
  return {.id = next_session_++,
          .team = team,
          .turns_left = 1 + static_cast<std::int64_t>(extra_turns),
          .context_tokens = system_tokens_[team]};
}

Turn SessionWorkload::NextTurn(Session& session) {
  Turn turn;
  turn.prompt_tokens = session.context_tokens + MessageTokens();
  const double answer =
      LogNormal(settings_.answer_log_median, settings_.answer_log_deviation);
  turn.answer_tokens = std::clamp(static_cast<std::int64_t>(answer),
                                  std::int64_t{1}, settings_.max_answer_tokens);
  const std::int64_t per_block = settings_.tokens_per_block;
  const std::int64_t system_blocks = system_tokens_[session.team] / per_block;
  for (std::int64_t i = 0; i < turn.prompt_tokens / per_block; ++i) {
    const std::uint64_t owner =
        i < system_blocks ? session.team : session.id + 1000;
    turn.blocks.push_back(BlockName(salt_ + owner, i));
  }
  session.context_tokens = turn.prompt_tokens + turn.answer_tokens;
  --session.turns_left;
  return turn;
}

std::int64_t SessionWorkload::MessageTokens() {
  double tokens =
      LogNormal(settings_.message_log_median, settings_.message_log_deviation);
  if (DrawUnit(random_) < settings_.document_share) {
    tokens += settings_.min_document_tokens /
              std::pow(1 - DrawUnit(random_), 1 / settings_.document_tail);
  }
  return std::clamp(static_cast<std::int64_t>(tokens), std::int64_t{4},
                    settings_.max_message_tokens);
}

Micros SessionWorkload::ThinkTime() {
  return MicrosFromMillis(Exponential(settings_.mean_think_millis));
}

Micros SessionWorkload::TimeToNextSession(double sessions_per_second) {
  return MicrosFromMillis(Exponential(1000 / sessions_per_second));
}

ContractId SessionWorkload::TeamContract(std::size_t team) const {
  return ContractId("team-" + std::to_string(team));
}

double SessionWorkload::Exponential(double mean) {
  return -mean * std::log(1 - DrawUnit(random_));
}

// Uses the Box-Muller transform.
double SessionWorkload::LogNormal(double log_median, double deviation) {
  const double radius = std::sqrt(-2 * std::log(1 - DrawUnit(random_)));
  const double angle = 2 * std::numbers::pi * DrawUnit(random_);
  return std::exp(log_median + deviation * radius * std::cos(angle));
}

}  // namespace gcw::bench
