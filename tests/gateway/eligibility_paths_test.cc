// Lists the calls that choose or reach an endpoint. A new one must ask
// EligibilityOf() and be added here.

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace sassafras {
namespace {

namespace fs = std::filesystem;

size_t CountOf(const std::string& text, const std::string& part) {
  size_t n = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size()))
    ++n;
  return n;
}

// Number of occurrences of `part` in each source of src/gateway and src/routing
// that has any.
std::map<std::string, size_t> UsesOf(const std::string& part) {
  std::map<std::string, size_t> uses;
  for (const char* folder : {"src/gateway", "src/routing"}) {
    const fs::path root = fs::path(SASSAFRASDECK_SOURCE_DIR) / folder;
    for (const auto& entry : fs::recursive_directory_iterator(root)) {
      if (entry.path().extension() != ".cc")
        continue;
      std::ostringstream os;
      os << std::ifstream(entry.path()).rdbuf();
      if (const size_t n = CountOf(os.str(), part))
        uses[entry.path().filename()] = n;
    }
  }
  return uses;
}

TEST(EligibilityPathsTest, EveryCallThatReachesAnEndpointIsListed) {
  using Uses = std::map<std::string, size_t>;
  const std::vector<std::pair<const char*, Uses>> cases = {
      // Chooses; asks in IsAvailable().
      {"PlaceRequest(", {{"exchange_send.cc", 1}, {"placement.cc", 1}}},
      {"IsEligible(", {{"placement.cc", 1}}},
      // Reaches the endpoint that was chosen.
      {"Connect(placement.endpoint)", {{"exchange_send.cc", 1}}},
      {"Stream::Connect(", {{"exchange_send.cc", 1}, {"stream.cc", 1}}},
      {"pool.Take(", {{"exchange_send.cc", 1}}},
      {"IsHome(",
       {{"exchange_send.cc", 1},
        {"directory.cc", 1},
        {"home_regions.cc", 2},
        {"placement.cc", 2}}},
      // Sends; both ways to a connection pass WithholdIfNotAllowed().
      {"if (!WithholdIfNotAllowed())\n    SendRequest();",
       {{"exchange_send.cc", 1}}},
      {"SendRequest()", {{"exchange_send.cc", 2}}},
      // Keeps a connection; asks CountsAsCapacity() before.
      {"pool.Put(", {{"exchange.cc", 1}}},
  };
  for (const auto& [part, uses] : cases)
    EXPECT_EQ(UsesOf(part), uses) << part;
}

}  // namespace
}  // namespace sassafras
