// The operators' interface: the state dump and metrics of a process, and the
// command line's calls to processes and to the store.
#ifndef OPERATORS_OPERATORS_H_
#define OPERATORS_OPERATORS_H_

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/http_server.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "base/settings.h"

namespace sassafras {

// Exit codes of the command line.
enum ExitCode {
  kExitOk = 0,
  kExitFailed = 1,        // The command could not do its work.
  kExitUsage = 2,         // Wrong arguments.
  kExitBadSettings = 3,   // The settings have faults.
  kExitPartly = 10,       // Some rows of the sheet were refused.
  kExitNothing = 11,      // No row was accepted; nothing was loaded.
  kExitConflict = 12,     // Another load came first.
  kExitUnknown = 13,      // The outcome is not known.
  kExitNotAccepted = 14,  // The store did not take the load.
  kExitMissing = 15,      // Not in force on all hosts yet.
};

// What a process shows of itself.
struct StateSource {
  // JSON text of one part, or of all parts for an empty name; empty for an
  // unknown part.
  std::function<std::string(const std::string& part)> dump;
  std::function<std::string()> metrics;
};

// Serves GET /state, /state?part=NAME and /metrics.
Result<std::unique_ptr<HttpServer>> StartOperatorServer(Loop& loop,
                                                        const Address& listen,
                                                        StateSource source);

// Sub-commands; each returns an exit code.
int RunSettingsCheck(const std::string& file);
int RunLookup(const std::string& entry,
              const std::string& service,
              const std::string& client);
int RunState(const std::string& address, const std::string& part);

struct SheetOptions {
  std::string settings_file;
  std::string sheet_file;
  std::string operator_name;
  std::string load_id;  // Empty for a new one.
  bool json = false;
  bool wait = false;
  std::chrono::seconds wait_time{30};
};

int RunSheetCheck(const SheetOptions& options);
int RunSheetLoad(const SheetOptions& options);
int RunSheetStatus(const SheetOptions& options);

}  // namespace sassafras

#endif  // OPERATORS_OPERATORS_H_
