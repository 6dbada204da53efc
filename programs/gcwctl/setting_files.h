#ifndef PROGRAMS_GCWCTL_SETTING_FILES_H_
#define PROGRAMS_GCWCTL_SETTING_FILES_H_

#include <string>
#include <variant>
#include <vector>

#include "transport/transport.h"

namespace gcw {

// What an operator's TOML file says, as the node's API takes it.
struct SettingDocument {
  std::string id;
  // JSON.
  std::string text;
};

using ReadDocument = std::variant<SettingDocument, std::vector<SettingError>>;

// A contract. Callers' keys are read from the files that `key_files` names, and
// only their digests go on; `key_digests` names digests directly.
ReadDocument ReadContractFile(const std::string& path);

// A model to be served.
ReadDocument ReadModelFile(const std::string& path);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_SETTING_FILES_H_
