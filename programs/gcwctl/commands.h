#ifndef PROGRAMS_GCWCTL_COMMANDS_H_
#define PROGRAMS_GCWCTL_COMMANDS_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "programs/gcwctl/command_line.h"
#include "programs/gcwctl/operator_client.h"

namespace gcw {

enum class ExitCode {
  kDone = 0,
  kUsage = 2,
  kUnreachable = 3,
  kConflict = 4,
  kRefused = 5,
  kOutcomeUnknown = 6,
};

// Runs one command. Prints the result to `out`, and errors with what to do
// about them to `err`.
class Commands {
 public:
  Commands(CommandLine line,
           Secret credential,
           std::ostream& out,
           std::ostream& err);

  ExitCode Run();

 private:
  // A kind of setting that operators write: its verb, and its name in API
  // paths.
  struct SettingType {
    std::string name;
    std::string collection;
  };

  ExitCode RunSettingCommand(const SettingType& setting_type);
  ExitCode WriteSetting(const SettingType& setting_type, bool create);
  ExitCode Withdraw(const SettingType& setting_type);
  ExitCode SendChange(const std::string& method,
                      const std::string& path,
                      std::int64_t expected,
                      const std::string& body);
  ExitCode ListSettings(const SettingType& setting_type);
  ExitCode ShowPage(const std::string& target);
  ExitCode RunNode();
  ExitCode DrainNode(const std::string& id);
  ExitCode RunGroup();
  ExitCode ShowGroups(const std::string& id);
  ExitCode ShowLimits();
  ExitCode RunBlock();
  ExitCode ShowEvacuations();
  ExitCode ExplainRoute();
  ExitCode ShowChange();
  ExitCode ShowTimeline();
  ExitCode ShowWhy();

  // Calls the nodes in order until one answers. Returns false, prints errors
  // and sets `failure` if none does.
  bool Call(const std::string& method,
            const std::string& target,
            const std::string& body,
            OperatorAnswer& answer,
            ExitCode& failure);
  // Fetches a page with status 200. Returns false, prints errors and sets
  // `failure` otherwise.
  bool FetchPage(const std::string& target,
                 OperatorAnswer& answer,
                 ExitCode& failure);
  ExitCode ReportRefusal(const OperatorAnswer& answer);
  // Lists all nodes known to the first node that answers.
  bool FindNodes(std::vector<boost::json::object>& nodes, ExitCode& failure);
  // Reads events from logs if any are named, and from all nodes otherwise. A
  // node that gives none is reported and left out.
  bool CollectEvents(std::vector<TimelineEvent>& events,
                     TimelineDecoder& decoder,
                     ExitCode& failure);
  // Reads events from the logs named on the command line.
  bool ReadEventLogs(std::vector<TimelineEvent>& events,
                     TimelineDecoder& decoder,
                     ExitCode& failure);
  ExitCode PrintUsage();
  std::string Argument(std::size_t index) const;
  OperatorClient MakeClient(const Address& node) const;

  CommandLine line_;
  Secret credential_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_COMMANDS_H_
