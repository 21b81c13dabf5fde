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
#include <type_traits>
#include <utility>

#include "base/ids.h"
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

// Appends the value of a key=value pair to `line`. Values that hold blanks,
// quotes, '=', backslashes or control characters are quoted and escaped, so
// that a name from outside cannot look like other pairs. Values of over
// kMaxLogValueBytes are cut.
void AppendLogValue(std::string& line, std::string_view value);
inline constexpr size_t kMaxLogValueBytes = 1 << 10;

// Writes one line; control characters in `text` are escaped. `part` names the
// part of the program, such as "entry".
void WriteLog(LogLevel level, std::string_view part, const std::string& text);

// Collects the key=value pairs of one line and writes it when destroyed.
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view part, std::string_view sentence)
      : level_(level), part_(part), text_(sentence) {}
  ~LogLine() { WriteLog(level_, part_, text_); }
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  template <typename T>
  LogLine& With(std::string_view key, const T& value) {
    text_.append(" ").append(key).append("=");
    if constexpr (std::is_convertible_v<const T&, std::string_view>) {
      AppendLogValue(text_, value);
    } else {
      std::ostringstream os;
      os << value;
      AppendLogValue(text_, os.str());
    }
    return *this;
  }
  template <typename Tag>
  LogLine& With(std::string_view key, const Id<Tag>& id) {
    return With(key, id.value());
  }

 private:
  LogLevel level_;
  std::string_view part_;
  std::string text_;
};

}  // namespace sassafras

#endif  // BASE_LOG_H_
