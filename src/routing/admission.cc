#include "routing/admission.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

// Weight of a new sample in an exponentially weighted mean.
constexpr double kSampleWeight = 0.05;
// The mean is an arithmetic one up to this number of samples.
constexpr size_t kArithmeticMeanSamples = 20;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
// RetryAfter() adds a random time of up to this fraction of the retry time, so
// that refused callers do not all retry at once.
constexpr double kRetryAfterJitter = 0.5;

// Standard deviations above the mean that LongestServiceTime() allows, and the
// fewest samples for which they are known.
constexpr double kLongestTimeDeviations = 4;
constexpr size_t kMinLongestTimeSamples = 10;

void AddSample(MeanServiceTime& times, Duration time) {
  ++times.samples;
  const double weight = times.samples <= kArithmeticMeanSamples
                            ? 1.0 / static_cast<double>(times.samples)
                            : kSampleWeight;
  const double difference = Seconds(time) - times.mean_seconds;
  times.mean_seconds += weight * difference;
  times.variance =
      (1.0 - weight) * (times.variance + weight * difference * difference);
}

template <typename Map, typename Key>
double MeanSeconds(const Map& map, const Key& key) {
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

Duration ExpectedServiceTime(const AdmissionState& state,
                             const RequestRoute& route) {
  const auto it = state.by_route.find(route.name);
  return it == state.by_route.end() ? route.target_latency
                                    : FromSeconds(it->second.mean_seconds);
}

Duration LongestServiceTime(const AdmissionState& state,
                            const RequestRoute& route) {
  const auto it = state.by_route.find(route.name);
  if (it == state.by_route.end() || it->second.samples < kMinLongestTimeSamples)
    return route.timeout;
  return FromSeconds(it->second.mean_seconds +
                     kLongestTimeDeviations * std::sqrt(it->second.variance));
}

AdmissionDecision Admit(const AdmissionState& state,
                        const AdmissionRequest& request) {
  AdmissionDecision decision;
  const double ahead = std::max(0.0, request.load + 1.0 - request.slots);
  const double mean = MeanSeconds(state.by_service, *request.service);
  decision.expected_wait = FromSeconds(ahead * mean / request.slots);
  const Duration own_time =
      FromSeconds(MeanSeconds(state.by_route, *request.route));
  decision.admitted =
      ahead <= 0 || decision.expected_wait + own_time <= request.time_left;
  if (!decision.admitted) {
    decision.retry_after =
        std::clamp(decision.expected_wait, kMinRetryAfter, kMaxRetryAfter);
  }
  return decision;
}

Duration RetryAfter(const AdmissionState& state,
                    const ServiceId& service,
                    double random) {
  const double mean = MeanSeconds(state.by_service, service);
  const double base =
      std::clamp(mean, Seconds(kMinRetryAfter), Seconds(kMaxRetryAfter));
  return FromSeconds(base * (1.0 + kRetryAfterJitter * random));
}

}  // namespace sassafras
