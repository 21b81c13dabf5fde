// Guards against a process that blocks in a log call because the reader of its
// standard output has stopped reading and the pipe is full.

#include "base/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>

namespace sassafras {
namespace {

// Replaces standard output by a pipe.
class PipedOutput {
 public:
  PipedOutput() : saved_(dup(STDOUT_FILENO)) {
    if (pipe(fds_) != 0)
      std::abort();
    dup2(fds_[1], STDOUT_FILENO);
    fcntl(fds_[0], F_SETFL, O_NONBLOCK);
  }
  ~PipedOutput() {
    dup2(saved_, STDOUT_FILENO);
    for (const int it : {saved_, fds_[0], fds_[1]})
      close(it);
  }
  PipedOutput(const PipedOutput&) = delete;
  PipedOutput& operator=(const PipedOutput&) = delete;

  std::string ReadAll() {
    std::string out;
    char buf[4096];
    for (ssize_t n = 0; (n = read(fds_[0], buf, sizeof(buf))) > 0;)
      out.append(buf, static_cast<size_t>(n));
    return out;
  }

 private:
  int saved_;
  int fds_[2] = {};
};

TEST(LogTest, StuckReaderDoesNotBlockAndDropsAreReported) {
  InitLog(LogLevel::kInfo);
  PipedOutput output;
  const auto before = std::chrono::steady_clock::now();
  constexpr int kLines = 20000;
  for (int i = 0; i < kLines; ++i) {
    LogLine(LogLevel::kInfo, "test", "A line of usual length for a request.")
        .With("id", i)
        .With("status", 200)
        .With("cause", "endpoint");
  }
  FlushLog();
  EXPECT_LT(std::chrono::steady_clock::now() - before, std::chrono::seconds(5));
  EXPECT_GT(DroppedLogLines(), 0U);

  // Once the pipe is read again, the buffered lines follow, and a line reports
  // how many were dropped.
  std::string text = output.ReadAll();
  for (int i = 0; i < 400; ++i) {
    FlushLog();
    text += output.ReadAll();
  }
  LogLine(LogLevel::kInfo, "test", "One more.").With("id", kLines);
  FlushLog();
  text += output.ReadAll();
  EXPECT_NE(text.find("[test] A line of usual length for a request. id=0 "),
            std::string::npos);
  EXPECT_NE(text.find("Lines were dropped. total="), std::string::npos);
  EXPECT_NE(text.find("One more."), std::string::npos);
}

std::string LogValue(std::string_view value) {
  std::string line;
  AppendLogValue(line, value);
  return line;
}

// Incident 031.
TEST(LogTest, ValuesCannotLookLikeOtherPairsOrLines) {
  EXPECT_EQ(LogValue("i-1"), "i-1");
  EXPECT_EQ(LogValue("a&b+c#%25/\xc3\xa9"), "a&b+c#%25/\xc3\xa9");
  EXPECT_EQ(LogValue("a b=c"), R"("a b=c")");
  EXPECT_EQ(LogValue("a\nb\x1b\x7f"), R"("a\x0ab\x1b\x7f")");
  EXPECT_EQ(LogValue(R"(a"b\c)"), R"("a\"b\\c")");
  EXPECT_EQ(LogValue(std::string_view("a\0b", 3)), R"("a\x00b")");
  EXPECT_EQ(LogValue(std::string(5000, 'x')).size(), kMaxLogValueBytes + 3);
}

}  // namespace
}  // namespace sassafras
