#include "routing/admission.h"

#include <algorithm>

namespace sassafras {

namespace {

// Weight of a new sample in the running means.
constexpr double kSampleWeight = 0.05;
// Until so many samples the mean is a plain one.
constexpr size_t kFirstSamples = 20;
constexpr Duration kShortestReturn = std::chrono::milliseconds(100);
constexpr Duration kLongestReturn = std::chrono::seconds(2);
// Callers come back spread over this part of the time that they were told.
constexpr double kReturnSpread = 0.5;

// Few answers take longer than this many times the mean.
constexpr int kExitFactor = 2;
constexpr Duration kExitSlack = std::chrono::milliseconds(300);
// Answers of a route that has not been seen yet, in multiples of its target.
constexpr int kExitTargets = 2;

void AddSample(ServiceTimes& times, Duration time) {
  ++times.samples;
  const double weight = times.samples <= kFirstSamples
                            ? 1.0 / static_cast<double>(times.samples)
                            : kSampleWeight;
  times.mean_seconds += weight * (Seconds(time) - times.mean_seconds);
}

template <typename Map, typename Key>
double MeanOf(const Map& map, const Key& key) {
  const auto it = map.find(key);
  return it == map.end() ? 0.0 : it->second.mean_seconds;
}

}  // namespace

void OnServiceTime(AdmissionState& state,
                   const ServiceId& service,
                   const std::string& route,
                   Duration time) {
  AddSample(state.by_route[route], time);
  AddSample(state.by_service[service], time);
}

Duration ExpectedTime(const AdmissionState& state, const RequestRoute& route) {
  const auto it = state.by_route.find(route.name);
  return it == state.by_route.end() ? route.target_latency
                                    : FromSeconds(it->second.mean_seconds);
}

AdmissionVerdict Admit(const AdmissionState& state,
                       const AdmissionRequest& request) {
  AdmissionVerdict verdict;
  const double ahead = std::max(0.0, request.load + 1.0 - request.slots);
  const double mean = MeanOf(state.by_service, *request.service);
  verdict.expected_wait = FromSeconds(ahead * mean / request.slots);
  const Duration own = FromSeconds(MeanOf(state.by_route, *request.route));
  verdict.admitted =
      ahead <= 0 || verdict.expected_wait + own <= request.time_left;
  if (!verdict.admitted) {
    verdict.retry_after =
        std::clamp(verdict.expected_wait, kShortestReturn, kLongestReturn);
  }
  return verdict;
}

bool FitsBeforeExit(const AdmissionState& state,
                    const RequestRoute& route,
                    Duration time_left) {
  const auto it = state.by_route.find(route.name);
  const Duration expected =
      it == state.by_route.end()
          ? std::min(route.target_latency * kExitTargets, route.timeout)
          : FromSeconds(it->second.mean_seconds);
  return expected * kExitFactor + kExitSlack <= time_left;
}

Duration RetryAfter(const AdmissionState& state,
                    const ServiceId& service,
                    double random) {
  const double mean = MeanOf(state.by_service, service);
  const double base =
      std::clamp(mean, Seconds(kShortestReturn), Seconds(kLongestReturn));
  return FromSeconds(base * (1.0 + kReturnSpread * random));
}

}  // namespace sassafras
