#include "routing/stop_policy.h"

#include <algorithm>

namespace sassafras {

namespace {

// Parts of the stop timeout, counted back from its end.
constexpr int kDrainParts = 6;
constexpr int kFinalAnswerParts = 10;
constexpr int kExitParts = 20;

// Covers the transfer of the answer, and the extra time after the deadline in
// which an endpoint reports that it has stopped the work.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(300);

}  // namespace

StopSchedule MakeStopSchedule(Duration stop_timeout) {
  return {stop_timeout - stop_timeout / kDrainParts,
          stop_timeout - stop_timeout / kFinalAnswerParts,
          stop_timeout - stop_timeout / kExitParts};
}

bool MayStartWhileStopping(const AdmissionState& state,
                           const RequestRoute& route,
                           Duration time_limit,
                           Duration until_final) {
  Duration needed = time_limit;
  if (MayRepeat(route.kind))
    needed = std::min(needed, LongestServiceTime(state, route));
  return needed + kAnswerMargin <= until_final;
}

}  // namespace sassafras
