// Structured logs: each line has the name of the part of the program, a short
// sentence and key=value pairs. Logging never blocks the process, even if the
// reader of its output is stuck.
#ifndef BASE_LOG_H_
#define BASE_LOG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "base/names_table.h"

namespace sassafras {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

template <>
struct NamesTable<LogLevel> {
  static constexpr EnumName<LogLevel> kNames[] = {
      {LogLevel::kDebug, "debug"},
      {LogLevel::kInfo, "info"},
      {LogLevel::kWarning, "warning"},
      {LogLevel::kError, "error"},
  };
};

// Sets up the log of the process on standard output and omits lines below
// `level`. Lines are buffered in memory up to kMaxLogBufferBytes; lines beyond
// that are dropped and counted.
void InitLog(LogLevel level);

inline constexpr size_t kMaxLogBufferBytes = 1 << 20;

// Writes buffered lines until the output would block. Processes call it every
// kLogFlushPeriod; it is also called at exit.
void FlushLog();
inline constexpr std::chrono::milliseconds kLogFlushPeriod{200};

// Lines dropped since the start because the output was not read fast enough.
uint64_t DroppedLogLines();

// Writes one line. `part` names the part of the program, such as "entry".
void WriteLog(LogLevel level, std::string_view part, const std::string& text);

// Collects the key=value pairs of one line and writes it when destroyed.
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view part, std::string_view sentence)
      : level_(level), part_(part) {
    os_ << sentence;
  }
  ~LogLine() { WriteLog(level_, part_, os_.str()); }
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  template <typename T>
  LogLine& With(std::string_view key, const T& value) {
    os_ << ' ' << key << '=' << value;
    return *this;
  }

 private:
  LogLevel level_;
  std::string_view part_;
  std::ostringstream os_;
};

}  // namespace sassafras

#endif  // BASE_LOG_H_
