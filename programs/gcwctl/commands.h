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
  struct Family {
    std::string name;
    std::string list;
  };

  ExitCode RunFamily(const Family& family);
  ExitCode WriteSetting(const Family& family, bool create);
  ExitCode Withdraw(const Family& family);
  ExitCode SendChange(const std::string& method,
                      const std::string& path,
                      std::int64_t expected,
                      const std::string& body);
  ExitCode ListSettings(const Family& family);
  ExitCode ShowPage(const std::string& target);
  ExitCode RunNode();
  ExitCode DrainNode(const std::string& id);
  ExitCode RunGroup();
  ExitCode ShowGroups(const std::string& id);
  ExitCode ShowLimits();
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
  bool Get(const std::string& target,
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
  bool ReadEvents(std::vector<TimelineEvent>& events,
                  TimelineDecoder& decoder,
                  ExitCode& failure);
  ExitCode Usage();
  std::string Word(std::size_t index) const;
  OperatorClient ClientFor(const Address& node) const;

  CommandLine line_;
  Secret credential_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_COMMANDS_H_
