// Counts crashes of endpoints under requests, whoever noticed them, logs them
// and tells the other hosts.
#ifndef GATEWAY_CRASH_REPORT_H_
#define GATEWAY_CRASH_REPORT_H_

#include <string>

#include "gateway/gateway_state.h"

namespace sassafras {

struct CrashReport {
  uint64_t request = 0;  // See HashOfRequest().
  std::string id;        // Of the request.
  const EndpointView* endpoint = nullptr;
  CrashedSend send;
  // Whether the endpoint left the connection open; see unanswered_sends.h.
  bool is_silent = false;
};

// Counts the crash, unless it is known already. Announces the request to the
// other hosts if it is a suspect: it may arrive again at once at any of them.
void ReportCrash(GatewayState& state, const CrashReport& report);

// Counts the silent crashes of an endpoint whose process has ended.
void ReportSilentCrashes(GatewayState& state, const EndpointView& endpoint);

}  // namespace sassafras

#endif  // GATEWAY_CRASH_REPORT_H_
