#include "gateway/crash_report.h"

#include "base/log.h"

namespace sassafras {

void ReportCrash(GatewayState& state, const CrashReport& report) {
  const Time now = state.loop.Now();
  if (!OnCrash(state.crashes, report.request,
               HashOfIncarnation(*report.endpoint), report.send, now))
    return;
  const bool is_suspect = IsSuspect(state.crashes, report.request);
  LogLine(LogLevel::kInfo, "request",
          report.is_silent
              ? "Endpoint ended after it left a request unanswered; counted as "
                "a crash."
              : "Endpoint broke off a request; counted as a crash.")
      .With("id", report.id)
      .With("request", report.request)
      .With("endpoint", report.endpoint->record.id)
      .With("sent_ms_ago", Millis(now - report.send.sent_at))
      .With("crashes", CountCrashes(state.crashes, report.request))
      .With("is_suspect", is_suspect);
  state.metrics.Count("gateway_crashes_total",
                      report.is_silent ? "kind=\"silent\"" : "kind=\"broken\"");
  if (!is_suspect)
    return;
  state.metrics.Count("gateway_suspect_requests_total", "");
  state.announce();
}

void ReportSilentCrashes(GatewayState& state, const EndpointView& endpoint) {
  const auto sends = TakeCrashedSends(
      state.unanswered_sends, HashOfIncarnation(endpoint), state.loop.Now());
  for (const UnansweredSend& it : sends) {
    ReportCrash(
        state, {it.request, it.id, &endpoint, {it.sent_at, it.ended_at}, true});
  }
}

}  // namespace sassafras
