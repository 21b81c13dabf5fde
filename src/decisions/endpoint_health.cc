#include "decisions/endpoint_health.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr double kMeanWeight = 0.1;
constexpr double kMinWarmShare = 0.34;

bool IsFailure(SlotOutcome outcome) {
  return outcome == SlotOutcome::kFailed ||
         outcome == SlotOutcome::kConnectFailed ||
         outcome == SlotOutcome::kBroken || outcome == SlotOutcome::kTimedOut;
}

bool IsJudged(SlotOutcome outcome) {
  return IsFailure(outcome) || outcome == SlotOutcome::kAnswered;
}

// Median of `value` over the endpoints that have enough samples.
template <typename Fn>
double MedianOf(const HealthMap& all, int min_samples, Fn value) {
  std::vector<double> values;
  for (const auto& [id, health] : all) {
    if (health.samples >= min_samples)
      values.push_back(value(health));
  }
  if (values.empty())
    return 0;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// Whether the endpoint is worse than the others. If all endpoints share a
// fault, ejecting some of them does not help.
bool IsOutlier(const HealthMap& all,
               const HealthLimits& limits,
               const EndpointHealth& health) {
  const double usual_failures =
      MedianOf(all, limits.min_samples,
               [](const EndpointHealth& h) { return h.failure_rate; });
  if (health.samples >= limits.min_samples &&
      health.failure_rate > limits.failure_rate &&
      health.failure_rate > 2 * usual_failures) {
    return true;
  }
  if (health.consecutive_failures >= limits.consecutive_failures &&
      usual_failures < limits.failure_rate) {
    return true;
  }
  const double usual_seconds =
      MedianOf(all, limits.min_samples,
               [](const EndpointHealth& h) { return h.mean_seconds; });
  return health.samples >= limits.min_samples && usual_seconds > 0 &&
         health.mean_seconds > limits.slow_factor * usual_seconds;
}

bool MayEjectAnother(const HealthMap& all,
                     const HealthLimits& limits,
                     Time now) {
  const auto ejected =
      std::count_if(all.begin(), all.end(),
                    [&](const auto& it) { return IsEjected(it.second, now); });
  const double allowed =
      limits.max_ejected_share * static_cast<double>(all.size());
  return static_cast<double>(ejected + 1) <= allowed;
}

void Eject(EndpointHealth& health, const HealthLimits& limits, Time now) {
  health.ejection = health.ejection == Duration::zero()
                        ? limits.initial_ejection
                        : std::min(health.ejection * 2, limits.max_ejection);
  health.ejected_until = now + health.ejection;
  health.consecutive_failures = 0;
  health.failure_rate = 0;
  health.mean_seconds = 0;
  health.samples = 0;
  health.warm_since = health.ejected_until;
}

}  // namespace

bool IsEjected(const EndpointHealth& health, Time now) {
  return now < health.ejected_until;
}

bool IsDown(const EndpointHealth& health, Time now) {
  return now < health.down_until;
}

void Observe(HealthMap& all,
             const HealthLimits& limits,
             const EndpointId& endpoint,
             SlotOutcome outcome,
             Duration held,
             Time now) {
  const auto it = all.find(endpoint);
  if (it == all.end() || !IsJudged(outcome))
    return;
  EndpointHealth& health = it->second;
  const bool refused = outcome == SlotOutcome::kConnectFailed;
  health.consecutive_refusals = refused ? health.consecutive_refusals + 1 : 0;
  if (health.consecutive_refusals >= limits.consecutive_refusals) {
    health.down_until = now + limits.down_pause;
    health.warm_since = health.down_until;
  }
  const bool failed = IsFailure(outcome);
  health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
  const double weight = health.samples == 0 ? 1.0 : kMeanWeight;
  health.failure_rate += weight * ((failed ? 1.0 : 0.0) - health.failure_rate);
  if (!failed || outcome == SlotOutcome::kTimedOut)
    health.mean_seconds += weight * (Seconds(held) - health.mean_seconds);
  ++health.samples;
  const bool recovered = !failed && health.samples > 4 * limits.min_samples;
  if (recovered)
    health.ejection = Duration::zero();
  if (IsEjected(health, now) || !IsOutlier(all, limits, health))
    return;
  if (MayEjectAnother(all, limits, now))
    Eject(health, limits, now);
}

double WarmShare(const EndpointHealth& health,
                 const HealthLimits& limits,
                 Time now) {
  if (health.warm_since == Time())
    return 1.0;
  const double part =
      Seconds(now - health.warm_since) / Seconds(limits.slow_start);
  return std::clamp(part, kMinWarmShare, 1.0);
}

}  // namespace sassafras
