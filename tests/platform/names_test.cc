// Checks that no code in src/ uses the platform's field names and keys.
// Only the adapter in platform/ may depend on them.

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace sassafras {
namespace {

namespace fs = std::filesystem;

// Names that HTTP defines, which any folder may use.
const std::set<std::string> kHttpNames = {"100-continue", "Content-Encoding",
                                          "Keep-Alive", "Retry-After"};

std::string ReadFile(const fs::path& path) {
  std::ostringstream os;
  os << std::ifstream(path).rdbuf();
  return os.str();
}

// Maps each string literal of the sources under `folder` to a file that
// contains it.
std::map<std::string, fs::path> LiteralsUnder(const std::string& folder) {
  static const std::regex literal("\"([^\"\\\\\n]*)\"");
  std::map<std::string, fs::path> out;
  const fs::path root = fs::path(SASSAFRASDECK_SOURCE_DIR) / folder;
  for (const auto& entry : fs::recursive_directory_iterator(root)) {
    const std::string extension = entry.path().extension();
    if (extension != ".cc" && extension != ".h")
      continue;
    const std::string text = ReadFile(entry.path());
    for (auto it = std::sregex_iterator(text.begin(), text.end(), literal);
         it != std::sregex_iterator(); ++it)
      out[(*it)[1]] = entry.path();
  }
  return out;
}

// Whether `text` counts as a name of the platform: several words joined by "-"
// or ".". Single words such as "name" are too common to be attributed.
bool IsPlatformName(const std::string& text) {
  static const std::regex compound_name("[A-Za-z0-9]+([-.][A-Za-z0-9]+)+");
  return std::regex_match(text, compound_name) && kHttpNames.count(text) == 0;
}

TEST(PlatformNamesTest, NoOtherFolderUsesThem) {
  const auto outside = LiteralsUnder("src");
  ASSERT_FALSE(outside.empty());
  size_t platform_names = 0;
  for (const auto& [name, path] : LiteralsUnder("platform")) {
    if (!IsPlatformName(name))
      continue;
    ++platform_names;
    const auto it = outside.find(name);
    EXPECT_EQ(it, outside.end()) << name << " of " << path << " is in "
                                 << (it == outside.end() ? "" : it->second);
  }
  EXPECT_GE(platform_names, 20U);
}

}  // namespace
}  // namespace sassafras
