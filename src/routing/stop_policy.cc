#include "routing/stop_policy.h"

#include <algorithm>

namespace sassafras {

namespace {

// Parts of the stop timeout, counted back from its end.
constexpr int kDrainParts = 6;
constexpr int kFinalAnswerParts = 10;
constexpr int kExitParts = 20;

// The platform excuses a request that the end of a stop cuts only if it was
// sent within this time of the signal to stop.
constexpr Duration kMaxCutTime = std::chrono::seconds(3);
// The part of the stop timeout that requests which may be cut have at least.
constexpr int kMinPartsBeforeCut = 2;

// Covers the transfer of the answer, and the extra time after the deadline in
// which an endpoint reports that it has stopped the work.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(300);

}  // namespace

StopSchedule MakeStopSchedule(Duration stop_timeout) {
  return {std::min(kMaxCutTime, stop_timeout / kMinPartsBeforeCut),
          stop_timeout - stop_timeout / kDrainParts,
          stop_timeout - stop_timeout / kFinalAnswerParts,
          stop_timeout - stop_timeout / kExitParts};
}

bool MayStartWhileStopping(const AdmissionState& state,
                           const RequestRoute& route,
                           const StoppingRequest& request) {
  Duration needed = request.time_limit;
  if (MayRepeat(route.kind) && !request.must_not_be_cut)
    needed = std::min(needed, LongestServiceTime(state, route));
  return needed + kAnswerMargin <= request.until_final;
}

}  // namespace sassafras
