#ifndef PROTOCOL_CONTRACT_JSON_H_
#define PROTOCOL_CONTRACT_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "protocol/json_reader.h"
#include "state/state.h"

namespace gcw {

// A contract in the operators' API and in the key-value service. The types are
// checked here, the ranges by `ContractBuilder`.
boost::json::object ContractToJson(const Contract& contract);
Contract ReadContract(JsonReader& reader);
std::string EncodeContract(const Contract& contract);
Decoded<Contract> DecodeContract(std::string_view text);

// The value of a contract's key.
std::string EncodeContractEntry(const ContractEntry& entry);
Decoded<ContractEntry> DecodeContractEntry(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CONTRACT_JSON_H_
