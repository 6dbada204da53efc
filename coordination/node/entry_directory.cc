#include "coordination/node/entry_directory.h"

#include <utility>

namespace gcw {

EntryDirectory::EntryDirectory(EntryDirectorySettings settings,
                               NodeId self,
                               Random random)
    : settings_(settings), self_(std::move(self)), random_(std::move(random)) {}

AdvertisedNodes EntryDirectory::SelectEntries(const View& view) const {
  std::vector<const NodeRecord*> usable;
  for (const auto& [node, member] : view.members()) {
    if (member.state == MemberState::kAlive) {
      usable.push_back(&member.record);
    }
  }
  AdvertisedNodes answer{.entries = {}, .ttl = settings_.ttl};
  for (std::size_t i = 0; i < usable.size() && i < settings_.max_entries; ++i) {
    std::swap(usable[i], usable[i + DrawBelow(random_, usable.size() - i)]);
    answer.entries.push_back({usable[i]->caller_address, usable[i]->zone,
                              usable[i]->region, usable[i]->weight});
  }
  return answer;
}

Time EntryDirectory::ServeUntil(Time leaving_since) const {
  return leaving_since + settings_.propagation_delay + settings_.ttl;
}

}  // namespace gcw
