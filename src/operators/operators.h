// Interfaces for operators: the HTTP server for the state dump and metrics of a
// process, and the sub-commands that query processes and the store.
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

// Exit codes of the sub-commands.
enum ExitCode {
  kExitOk = 0,
  kExitFailed = 1,            // The command failed.
  kExitUsage = 2,             // Invalid arguments.
  kExitBadSettings = 3,       // The settings have faults.
  kExitPartlyAccepted = 10,   // Some rows of the sheet were refused.
  kExitNothingAccepted = 11,  // No row was accepted; nothing was loaded.
  kExitConflict = 12,         // Another load was accepted first.
  kExitUnknownOutcome = 13,   // The outcome of the load is unknown.
  kExitNotAccepted = 14,      // The store did not accept the load.
  kExitHostsMissing = 15,     // Not in force on all hosts yet.
};

// Source of the texts that the operator server returns.
struct StateSource {
  // Returns one part as JSON, or all parts if the name is empty. Returns an
  // empty string for an unknown part.
  std::function<std::string(const std::string& part)> dump;
  std::function<std::string()> metrics;  // In the Prometheus text format.
};

// Serves GET /state, /state?part=NAME and /metrics.
Result<std::unique_ptr<HttpServer>> StartOperatorServer(Loop& loop,
                                                        const Address& listen,
                                                        StateSource source);

// Sub-commands; each returns an ExitCode.
int RunSettingsCheck(const std::string& file);
int RunLookup(const std::string& entry,
              const std::string& service,
              const std::string& client);
int RunState(const std::string& address, const std::string& part);

struct SheetOptions {
  std::string settings_file;
  std::string sheet_file;
  std::string operator_name;
  std::string load_id;  // Of an earlier load; empty for a new load.
  bool json = false;
  bool wait = false;
  std::chrono::seconds wait_time{30};
};

int RunSheetCheck(const SheetOptions& options);
int RunSheetLoad(const SheetOptions& options);
int RunSheetStatus(const SheetOptions& options);

}  // namespace sassafras

#endif  // OPERATORS_OPERATORS_H_
