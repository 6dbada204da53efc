#ifndef BENCH_LIMIT_WIRE_SIZE_H_
#define BENCH_LIMIT_WIRE_SIZE_H_

#include "coordination/coordination.h"

namespace gcw::bench {

// Bytes of a batch between two nodes: amounts as 4-byte fractions, what all
// reports of a batch have in common written once, headers of gRPC, HTTP/2, TCP
// and IP for each batch.
double WireBytes(const LimitBatch& batch);

}  // namespace gcw::bench

#endif  // BENCH_LIMIT_WIRE_SIZE_H_
