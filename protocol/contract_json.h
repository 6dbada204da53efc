#ifndef PROTOCOL_CONTRACT_JSON_H_
#define PROTOCOL_CONTRACT_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "protocol/json_reader.h"
#include "state/state.h"

namespace gcw {

// A contract as JSON in the operators' API and in the key-value service. Types
// are checked here, ranges in `ContractBuilder`.
boost::json::object ContractToJson(const Contract& contract);
Contract ReadContract(JsonReader& reader);
std::string EncodeContract(const Contract& contract);
Decoded<Contract> DecodeContract(std::string_view text);

// The value stored under a contract's key.
std::string EncodeContractEntry(const ContractEntry& entry);
Decoded<ContractEntry> DecodeContractEntry(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CONTRACT_JSON_H_
