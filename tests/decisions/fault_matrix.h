// The fault matrix: injects every fault during every step of operation, in the
// simulated deployment of fake_world.h.
#ifndef TESTS_DECISIONS_FAULT_MATRIX_H_
#define TESTS_DECISIONS_FAULT_MATRIX_H_

#include <string>
#include <vector>

#include "base/names_table.h"

namespace sassafras {

enum class Fault {
  kStoreDown,
  kStoreSlow,
  kAnswerLost,
  kLeaderPaused,
  kOperatorsRace,
  kMeasurementsStop,
  kMeasurementsLie,
  kProcessKilled,
  kProcessFrozen,
  kConnectionCut,
  kRegionLost,
  kRegionsParted,
  kEndpointCrash,
  kPoison,
  kFloodLow,
  kFloodNormal,
  kFloodUrgent,
  kHostListLags,
};

template <>
struct NamesTable<Fault> {
  static constexpr EnumName<Fault> kNames[] = {
      {Fault::kStoreDown, "StoreDown"},
      {Fault::kStoreSlow, "StoreSlow"},
      {Fault::kAnswerLost, "AnswerLost"},
      {Fault::kLeaderPaused, "LeaderPaused"},
      {Fault::kOperatorsRace, "OperatorsRace"},
      {Fault::kMeasurementsStop, "MeasurementsStop"},
      {Fault::kMeasurementsLie, "MeasurementsLie"},
      {Fault::kProcessKilled, "ProcessKilled"},
      {Fault::kProcessFrozen, "ProcessFrozen"},
      {Fault::kConnectionCut, "ConnectionCut"},
      {Fault::kRegionLost, "RegionLost"},
      {Fault::kRegionsParted, "RegionsParted"},
      {Fault::kEndpointCrash, "EndpointCrash"},
      {Fault::kPoison, "Poison"},
      {Fault::kFloodLow, "FloodLow"},
      {Fault::kFloodNormal, "FloodNormal"},
      {Fault::kFloodUrgent, "FloodUrgent"},
      {Fault::kHostListLags, "HostListLags"},
  };
};

enum class Step {
  kSheetLoad,
  kSpread,
  kPlan,
  kLease,
  kShift,
  kViewChange,
  kBegin,
  kDispatch,
  kAnswer,
  kResend,
  kDrain,
  kStop,
  kJoin,
};

template <>
struct NamesTable<Step> {
  static constexpr EnumName<Step> kNames[] = {
      {Step::kSheetLoad, "SheetLoad"}, {Step::kSpread, "Spread"},
      {Step::kPlan, "Plan"},           {Step::kLease, "Lease"},
      {Step::kShift, "Shift"},         {Step::kViewChange, "ViewChange"},
      {Step::kBegin, "Begin"},         {Step::kDispatch, "Dispatch"},
      {Step::kAnswer, "Answer"},       {Step::kResend, "Resend"},
      {Step::kDrain, "Drain"},         {Step::kStop, "Stop"},
      {Step::kJoin, "Join"},
  };
};

std::vector<Fault> AllFaults();
std::vector<Step> AllSteps();

// Begins the step, injects the fault during it, ends the fault and returns the
// violated invariants.
std::vector<std::string> RunCell(Fault fault, Step step);

}  // namespace sassafras

#endif  // TESTS_DECISIONS_FAULT_MATRIX_H_
