#include "coordination/configuration/contract_directory.h"

namespace gcw {

void ContractDirectory::Set(const Contract& contract) {
  Remove(contract.id);
  for (const KeyDigest& key : contract.keys) {
    keys_.insert_or_assign(key, contract.id);
  }
  contracts_.insert_or_assign(contract.id, contract);
}

void ContractDirectory::Remove(const ContractId& id) {
  const auto found = contracts_.find(id);
  if (found == contracts_.end()) {
    return;
  }
  for (const KeyDigest& key : found->second.keys) {
    const auto entry = keys_.find(key);
    if (entry != keys_.end() && entry->second == id) {
      keys_.erase(entry);
    }
  }
  contracts_.erase(found);
}

const Contract* ContractDirectory::Find(const ContractId& id) const {
  const auto found = contracts_.find(id);
  return found == contracts_.end() ? nullptr : &found->second;
}

const Contract* ContractDirectory::FindByKey(const KeyDigest& digest) const {
  const auto found = keys_.find(digest);
  return found == keys_.end() ? nullptr : Find(found->second);
}

std::optional<RefusalKind> ContractDirectory::Check(
    const Contract& contract,
    Time now,
    const RequestTarget& target) {
  const bool is_over = contract.valid_until && now >= *contract.valid_until;
  if (now < contract.valid_from || is_over) {
    return RefusalKind::kContractNotValid;
  }
  if (const auto* model = std::get_if<ModelTarget>(&target)) {
    return contract.models.contains(model->model)
               ? std::nullopt
               : std::optional(RefusalKind::kModelNotAllowed);
  }
  const auto& service = std::get<ServiceTarget>(target).service;
  return contract.services.contains(service)
             ? std::nullopt
             : std::optional(RefusalKind::kServiceNotAllowed);
}

}  // namespace gcw
