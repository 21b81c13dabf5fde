// Settings files are read strictly: each error is reported with its place and
// field, and one run reports all errors.

#include "base/settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sassafras {
namespace {

std::string Sample() {
  std::ifstream in(std::string(DATA_DIR) + "/heladeras.toml");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = Sample();
  const size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(SettingsTest, ShippedFilesAreValid) {
  for (const char* it : {"heladeras.toml", "hakata.toml"}) {
    const auto reading = ReadSettings(std::string(DATA_DIR) + "/" + it);
    for (const SettingsError& error : reading.errors)
      ADD_FAILURE() << error.ToString();
    EXPECT_EQ(reading.settings.regions.size(), 3U);
  }
}

TEST(SettingsTest, ErrorsNameLineColumnAndField) {
  struct Case {
    std::string from;
    std::string to;
    std::string field;
    std::string reason;
  };
  const Case cases[] = {
      {"timeout_ms = 2000", "timeout_ms = \"2\"", "store.timeout_ms",
       "must be an integer"},
      {"timeout_ms = 2000", "timeout_ms = 0", "store.timeout_ms",
       "must be from 1 to 60000"},
      {"timeout_ms = 2000", "timeout = 5", "store.timeout",
       "is not a known field"},
      {"\"127.64.0.1:7900\"", "\"store:7900\"", "store.address",
       "must be an address such as 10.0.0.1:7000"},
      {"key = \"change-me\"", "", "peers.key", "is missing"},
      {"\"10.2.0.0/16\"", "\"10.2.0.1/16\"", "regions[1].client_blocks",
       "'10.2.0.1/16' is not a CIDR block such as 10.1.0.0/16"},
      {"priority = \"urgent\"", "priority = \"high\"",
       "services[0].routes[0].priority", "must be urgent, normal or low"},
      {"name = \"pampa\"", "name = \"cuyo\"", "regions.name",
       "'cuyo' is used more than once"},
  };
  for (const Case& it : cases) {
    const auto reading = ReadSettingsText(Replaced(it.from, it.to), "f.toml");
    ASSERT_FALSE(reading.errors.empty()) << it.to;
    const auto found = std::find_if(
        reading.errors.begin(), reading.errors.end(),
        [&](const SettingsError& error) { return error.field == it.field; });
    ASSERT_NE(found, reading.errors.end()) << reading.errors[0].ToString();
    EXPECT_EQ(found->reason, it.reason);
    EXPECT_GT(found->line, 0);
    EXPECT_GT(found->column, 0);
  }
}

TEST(SettingsTest, AllErrorsAreReportedInOneRun) {
  std::string text = Replaced("timeout_ms = 2000", "timeout_ms = -1");
  text += "\nnothing = 1\n";
  EXPECT_GE(ReadSettingsText(text, "f.toml").errors.size(), 2U);
}

}  // namespace
}  // namespace sassafras
