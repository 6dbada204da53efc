#ifndef PROGRAMS_GCWCTL_SETTING_FILES_H_
#define PROGRAMS_GCWCTL_SETTING_FILES_H_

#include <string>
#include <variant>
#include <vector>

#include "transport/transport.h"

namespace gcw {

// The content of an operator's TOML file in the form that the node's API takes.
struct SettingDocument {
  std::string id;
  // JSON.
  std::string text;
};

using ReadDocument = std::variant<SettingDocument, std::vector<SettingError>>;

// Reads a contract. Callers' keys are read from the files that `key_files`
// names, and only their digests are sent; `key_digests` gives digests directly.
ReadDocument ReadContractFile(const std::string& path);

// Reads a model to be served.
ReadDocument ReadModelFile(const std::string& path);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_SETTING_FILES_H_
