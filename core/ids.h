#ifndef CORE_IDS_H_
#define CORE_IDS_H_

#include "core/strong_id.h"

namespace gcw {

// A process of this system on an entry VM, stable across restarts of the
// process.
using NodeId = StrongId<struct NodeIdTag>;
// A VM of the platform that runs an endpoint.
using VmId = StrongId<struct VmIdTag>;
// A set of VMs connected by a fast fabric; a replica group never spans two
// domains.
using FabricDomainId = StrongId<struct FabricDomainIdTag>;
// A data centre.
using ZoneId = StrongId<struct ZoneIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
// The VMs that together run one replica of a model.
using GroupId = StrongId<struct GroupIdTag>;
// The target of a request: a replica group's first VM or a plain service's
// process.
using EndpointId = StrongId<struct EndpointIdTag>;
using ContractId = StrongId<struct ContractIdTag>;
using ModelId = StrongId<struct ModelIdTag>;
using AdapterId = StrongId<struct AdapterIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
// One request of a caller, unique across all nodes.
using RequestId = StrongId<struct RequestIdTag>;
// One attempt to run a request at an endpoint, unique across all nodes.
using AttemptId = StrongId<struct AttemptIdTag>;
// The caller's `Idempotency-Key`, scoped to its contract.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
// Chosen by a writer for one write, so that it can read back whether the write
// took effect if the reply is lost.
using ChangeId = StrongId<struct ChangeIdTag>;
// Hexadecimal SHA-256 digest of a caller's bearer key. The key itself is never
// stored or logged.
using KeyDigest = StrongId<struct KeyDigestTag>;

// Modification counter of the key-value service. It grows over all keys.
using Revision = StrongNumber<struct RevisionTag>;
// Grows each time the members of a replica group change.
using Generation = StrongNumber<struct GenerationTag>;
// An order with a lower token than one already seen is stale. The token is the
// revision at which the sender acquired its role.
using FencingToken = StrongNumber<struct FencingTokenTag>;
// Distinguishes one run of a process from earlier runs under the same id.
using Incarnation = StrongNumber<struct IncarnationTag>;
// A lease granted by the key-value service.
using LeaseId = StrongNumber<struct LeaseIdTag>;
using TokenCount = StrongNumber<struct TokenCountTag>;
// Identifies a part of a prompt that requests share.
using PromptPartId = StrongId<struct PromptPartIdTag>;
// Priority when capacity is short; a lower number is served first.
using Rank = StrongNumber<struct RankTag>;
// Hash of a request's content, equal if the request is sent again.
using Fingerprint = StrongNumber<struct FingerprintTag>;
// Keeps fingerprints positive and within the 53 bits that all codecs can
// represent.
inline constexpr std::uint64_t kFingerprintMask = (std::uint64_t{1} << 52) - 1;
// Set in fingerprints of parts of prompts, and in no others.
inline constexpr std::int64_t kPartFingerprintBit = std::int64_t{1} << 52;

constexpr bool IsPartFingerprint(Fingerprint fingerprint) {
  return (fingerprint.value() & kPartFingerprintBit) != 0;
}

}  // namespace gcw

#endif  // CORE_IDS_H_
