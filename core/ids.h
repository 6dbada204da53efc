#ifndef CORE_IDS_H_
#define CORE_IDS_H_

#include "core/strong_id.h"

namespace gcw {

// An entry VM's process of this system, stable over restarts of the process.
using NodeId = StrongId<struct NodeIdTag>;
// A VM of the platform that runs an endpoint.
using VmId = StrongId<struct VmIdTag>;
// A set of VMs joined by a fast fabric; a replica group never leaves one.
using FabricDomainId = StrongId<struct FabricDomainIdTag>;
// A data centre.
using ZoneId = StrongId<struct ZoneIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
// The VMs that run one replica of a model together.
using GroupId = StrongId<struct GroupIdTag>;
// What a request can be sent to: a replica group's first VM or a plain
// service's process.
using EndpointId = StrongId<struct EndpointIdTag>;
using ContractId = StrongId<struct ContractIdTag>;
using ModelId = StrongId<struct ModelIdTag>;
using AdapterId = StrongId<struct AdapterIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
// One call of a caller, unique over all nodes.
using RequestId = StrongId<struct RequestIdTag>;
// One try to run a request at one endpoint, unique over all nodes.
using AttemptId = StrongId<struct AttemptIdTag>;
// The caller's `Idempotency-Key`, scoped to its contract.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
// Chosen by a writer for one write, so that it can read back whether the write
// took effect when its answer is lost.
using ChangeId = StrongId<struct ChangeIdTag>;
// Hexadecimal SHA-256 digest of a caller's bearer key. The key itself is never
// stored or logged.
using KeyDigest = StrongId<struct KeyDigestTag>;

// The key-value service's modification counter. It grows over all keys.
using Revision = StrongNumber<struct RevisionTag>;
// Grows each time a replica group's members change.
using Generation = StrongNumber<struct GenerationTag>;
// Orders with a lower number than one already seen are stale. Taken from the
// revision at which the sender's role was acquired.
using FencingToken = StrongNumber<struct FencingTokenTag>;
// Tells one run of a process from an earlier run under the same id.
using Incarnation = StrongNumber<struct IncarnationTag>;
// A lease granted by the key-value service.
using LeaseId = StrongNumber<struct LeaseIdTag>;
using TokenCount = StrongNumber<struct TokenCountTag>;
// Ranks contracts when capacity is short; a lower number is served first.
using Rank = StrongNumber<struct RankTag>;
// Fingerprint of what a request asks, equal for a request that is sent again.
using Fingerprint = StrongNumber<struct FingerprintTag>;

}  // namespace gcw

#endif  // CORE_IDS_H_
