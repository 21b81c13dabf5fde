// Prints the fault matrix as a table for docs/FAULTS.md by running its cells.

#include <cstdio>

#include "decisions/fault_matrix.h"

int main() {
  std::printf("| fault |");
  for (const auto step : sassafras::AllSteps())
    std::printf(" %s |", std::string(sassafras::NameOf(step)).c_str());
  std::printf("\n|---|");
  for (size_t n = 0; n < sassafras::AllSteps().size(); ++n)
    std::printf("---|");
  std::printf("\n");
  int red = 0;
  for (const auto fault : sassafras::AllFaults()) {
    std::printf("| %s |", std::string(sassafras::NameOf(fault)).c_str());
    for (const auto step : sassafras::AllSteps()) {
      const auto broken = sassafras::RunCell(fault, step);
      red += broken.empty() ? 0 : 1;
      std::printf(" %s |", broken.empty() ? "proved" : "RED");
      std::fflush(stdout);
      if (!broken.empty())
        std::fprintf(stderr, "%s\n", broken.front().c_str());
    }
    std::printf("\n");
  }
  return red == 0 ? 0 : 1;
}
