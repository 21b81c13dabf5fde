#include "base/metrics.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

// Incident 031.
TEST(MetricsTest, LabelsAreEscaped) {
  EXPECT_EQ(MetricLabel("service", "rondas"), R"(service="rondas")");
  EXPECT_EQ(MetricLabel("service", "a\"} 1\nb\\c"),
            R"(service="a\"} 1\nb\\c")");
}

}  // namespace
}  // namespace sassafras
