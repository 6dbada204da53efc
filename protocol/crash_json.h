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

// The same about the locks that let one copy of a request run at a time.
std::string EncodeRunLockClaim(const RunLockClaim& claim);
// `id` is not part of the message.
Decoded<RunLockClaim> DecodeRunLockClaim(std::string_view text);
std::string EncodeRunLockRelease(const RunLockRelease& release);
Decoded<RunLockRelease> DecodeRunLockRelease(std::string_view text);
std::string EncodeRunLockReply(const RunLockReply& reply);
Decoded<RunLockReply> DecodeRunLockReply(std::string_view text);

// A page for operators: the requests under which endpoints crashed.
std::string EncodeCrashBlocks(const std::vector<CrashBlock>& blocks);

}  // namespace gcw

#endif  // PROTOCOL_CRASH_JSON_H_
