#ifndef PROGRAMS_GCW_LOAD_LOAD_REPORT_H_
#define PROGRAMS_GCW_LOAD_LOAD_REPORT_H_

#include <ostream>
#include <string>

#include "programs/gcw_load/key_ledger.h"
#include "programs/gcw_load/load_tally.h"

namespace gcw {

// Writes the result of a run as a table for people, with times in milliseconds.
void WriteLoadTable(const LoadTally& tally,
                    const KeyLedger& keys,
                    std::ostream& out);

// Encodes the result of a run as one JSON object.
std::string EncodeLoadResult(const LoadTally& tally, const KeyLedger& keys);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_REPORT_H_
