#ifndef BENCH_LIMIT_WIRE_SIZE_H_
#define BENCH_LIMIT_WIRE_SIZE_H_

#include "coordination/coordination.h"

namespace gcw::bench {

// Estimates the bytes that a batch takes between two nodes: amounts are 4-byte
// fractions, fields common to all reports of a batch are written once, and each
// batch carries the headers of gRPC, HTTP/2, TCP and IP.
double WireBytes(const LimitBatch& batch);

}  // namespace gcw::bench

#endif  // BENCH_LIMIT_WIRE_SIZE_H_
