#ifndef PROTOCOL_MIRROR_JSON_H_
#define PROTOCOL_MIRROR_JSON_H_

#include <string>
#include <string_view>

#include "coordination/coordination.h"
#include "protocol/codec_error.h"

namespace gcw {

// Messages between the nodes of a gateway: copies of what the key-value service
// holds, and notices of stalled groups.
std::string EncodeMirrorSnapshot(const MirrorSnapshot& snapshot);
Decoded<MirrorSnapshot> DecodeMirrorSnapshot(std::string_view text);
std::string EncodeMirrorChanges(const MirrorChanges& changes);
Decoded<MirrorChanges> DecodeMirrorChanges(std::string_view text);
std::string EncodeStallNotice(const StallNotice& notice);
Decoded<StallNotice> DecodeStallNotice(std::string_view text);
std::string EncodeLimitNotice(const LimitNotice& notice);
Decoded<LimitNotice> DecodeLimitNotice(std::string_view text);
// The time since a node last saw a group make progress.
std::string EncodeProgressAge(Duration age);
Decoded<Duration> DecodeProgressAge(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_MIRROR_JSON_H_
