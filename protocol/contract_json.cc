#include "protocol/contract_json.h"

#include "protocol/json_writer.h"

namespace gcw {
namespace {

constexpr ChoiceNames<Tier, 2> kTiers{{
    {Tier::kPaid, "paid"},
    {Tier::kTrial, "trial"},
}};

template <typename Id>
std::set<Id> ReadIds(JsonReader& reader, std::string_view name) {
  std::set<Id> ids;
  if (!reader.Has(name)) {
    return ids;
  }
  for (std::string& text : reader.Strings(name)) {
    ids.emplace(std::move(text));
  }
  return ids;
}

double ReadOptionalNumber(JsonReader& reader, std::string_view name) {
  return reader.Has(name) ? reader.Number(name) : 0;
}

void ReadValidity(JsonReader& reader, Contract& contract) {
  if (reader.Has("valid_from_ms")) {
    contract.valid_from = reader.TimeMillis("valid_from_ms");
  }
  if (reader.IsPresent("valid_until_ms")) {
    contract.valid_until = reader.TimeMillis("valid_until_ms");
  }
}

}  // namespace

boost::json::object ContractToJson(const Contract& contract) {
  boost::json::object object{
      {"id", ToJson(contract.id)},
      {"customer", contract.customer},
      {"tier", ChoiceToJson(contract.tier, kTiers)},
      {"rank", ToJson(contract.rank)},
      {"models", ListToJson(contract.models)},
      {"services", ListToJson(contract.services)},
      {"requests_per_second", NumberToJson(contract.requests_per_second)},
      {"tokens_per_second", NumberToJson(contract.tokens_per_second)},
      {"concurrency", contract.concurrency},
      {"valid_from_ms", ToJson(contract.valid_from)},
      {"valid_until_ms", nullptr},
      {"keys", ListToJson(contract.keys)}};
  if (contract.valid_until) {
    object["valid_until_ms"] = contract.valid_until->millis();
  }
  return object;
}

Contract ReadContract(JsonReader& reader) {
  Contract contract;
  contract.id = reader.TextId<ContractId>("id");
  contract.customer = reader.String("customer");
  contract.tier = reader.Enum("tier", kTiers);
  if (reader.Has("rank")) {
    contract.rank = Rank(reader.Integer("rank"));
  }
  contract.models = ReadIds<ModelId>(reader, "models");
  contract.services = ReadIds<ServiceId>(reader, "services");
  contract.requests_per_second = reader.Number("requests_per_second");
  contract.tokens_per_second = ReadOptionalNumber(reader, "tokens_per_second");
  contract.concurrency = reader.Integer("concurrency");
  ReadValidity(reader, contract);
  contract.keys = ReadIds<KeyDigest>(reader, "keys");
  return contract;
}

std::string EncodeContract(const Contract& contract) {
  return boost::json::serialize(ContractToJson(contract));
}

Decoded<Contract> DecodeContract(std::string_view text) {
  return DecodeJson(text, ReadContract);
}

std::string EncodeContractEntry(const ContractEntry& entry) {
  boost::json::object object{{"id", ToJson(entry.id)},
                             {"contract", nullptr},
                             {"change", ToJson(entry.change)}};
  if (entry.contract) {
    object["contract"] = ContractToJson(*entry.contract);
  }
  return boost::json::serialize(object);
}

Decoded<ContractEntry> DecodeContractEntry(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    ContractEntry entry;
    entry.id = reader.TextId<ContractId>("id");
    // A withdrawn contract is written as null; a missing field is an error.
    if (!reader.Has("contract")) {
      reader.Fail(CodecErrorKind::kMissing, "contract");
    }
    if (reader.IsPresent("contract")) {
      entry.contract = reader.Object("contract", ReadContract);
    }
    entry.change = reader.TextId<ChangeId>("change");
    return entry;
  });
}

}  // namespace gcw
