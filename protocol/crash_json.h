#ifndef PROTOCOL_CRASH_JSON_H_
#define PROTOCOL_CRASH_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "coordination/coordination.h"
#include "protocol/codec_error.h"

namespace gcw {

// What the key-value service holds about a request under which endpoints
// crashed.
std::string EncodeCrashRecord(const CrashRecord& record);
Decoded<CrashRecord> DecodeCrashRecord(std::string_view text);

// Messages between the nodes of a gateway about such requests.
std::string EncodeCrashNotices(const std::vector<CrashNotice>& notices);
Decoded<std::vector<CrashNotice>> DecodeCrashNotices(std::string_view text);

// A page for operators: the requests under which endpoints crashed.
std::string EncodeCrashBlocks(const std::vector<CrashBlock>& blocks);

}  // namespace gcw

#endif  // PROTOCOL_CRASH_JSON_H_
