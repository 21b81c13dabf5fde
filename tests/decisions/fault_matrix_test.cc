#include "decisions/fault_matrix.h"

#include <gtest/gtest.h>

#include <tuple>

namespace sassafras {
namespace {

using CellParam = std::tuple<Fault, Step>;

class FaultMatrixTest : public ::testing::TestWithParam<CellParam> {};

TEST_P(FaultMatrixTest, InvariantsHold) {
  const auto [fault, step] = GetParam();
  for (const std::string& it : RunCell(fault, step))
    ADD_FAILURE() << it;
}

std::string CellName(const ::testing::TestParamInfo<CellParam>& info) {
  return std::string(NameOf(std::get<0>(info.param))) + "_" +
         std::string(NameOf(std::get<1>(info.param)));
}

INSTANTIATE_TEST_SUITE_P(Matrix,
                         FaultMatrixTest,
                         ::testing::Combine(::testing::ValuesIn(AllFaults()),
                                            ::testing::ValuesIn(AllSteps())),
                         CellName);

}  // namespace
}  // namespace sassafras
