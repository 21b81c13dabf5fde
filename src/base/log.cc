#include "base/log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

INITIALIZE_EASYLOGGINGPP

namespace sassafras {

namespace {

// A pipe that polls as writable accepts at least this many bytes (PIPE_BUF on
// Linux) without blocking.
constexpr size_t kWriteChunkBytes = 4096;

LogLevel g_level = LogLevel::kInfo;

// Lines that wait to be written to standard output.
struct LogBuffer {
  std::string text;
  size_t written = 0;  // Bytes of `text` already written.
  uint64_t dropped = 0;
  // Value of `dropped` in the last log line about it.
  uint64_t reported_dropped = 0;
};

// Never destroyed: FlushLog() runs at exit, after static objects are gone.
LogBuffer& Buffer() {
  static LogBuffer& buffer = *new LogBuffer;
  return buffer;
}

bool IsOutputReady() {
  pollfd fd{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&fd, 1, 0) == 1 && (fd.revents & POLLOUT) != 0;
}

void Append(const std::string& line) {
  LogBuffer& buffer = Buffer();
  if (buffer.text.size() - buffer.written + line.size() > kMaxLogBufferBytes) {
    ++buffer.dropped;
    return;
  }
  if (buffer.dropped > buffer.reported_dropped) {
    buffer.text +=
        "[log] Lines were dropped. total=" + std::to_string(buffer.dropped) +
        "\n";
    buffer.reported_dropped = buffer.dropped;
  }
  buffer.text += line;
  if (buffer.text.size() - buffer.written >= kWriteChunkBytes)
    FlushLog();
}

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

bool NeedsQuotes(char c) {
  return IsControl(c) || c == ' ' || c == '"' || c == '=' || c == '\\';
}

void AppendEscaped(std::string& out, char c) {
  if (c == '"' || c == '\\') {
    out += '\\';
    out += c;
    return;
  }
  std::array<char, 5> text{};
  std::snprintf(text.data(), text.size(), "\\x%02x",
                static_cast<unsigned char>(c));
  out += text.data();
}

// Redirects lines formatted by easylogging++ into the buffer.
class BufferedDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    Append(message->logger()->logBuilder()->build(
        message,
        data->dispatchAction() == el::base::DispatchAction::NormalLog));
  }
};

}  // namespace

void FlushLog() {
  LogBuffer& buffer = Buffer();
  while (buffer.written < buffer.text.size() && IsOutputReady()) {
    const size_t size =
        std::min(kWriteChunkBytes, buffer.text.size() - buffer.written);
    const ssize_t n =
        ::write(STDOUT_FILENO, buffer.text.data() + buffer.written, size);
    if (n <= 0)
      break;
    buffer.written += static_cast<size_t>(n);
  }
  buffer.text.erase(0, buffer.written);
  buffer.written = 0;
}

uint64_t DroppedLogLines() {
  return Buffer().dropped;
}

void InitLog(LogLevel level) {
  g_level = level;
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  conf.setGlobally(el::ConfigurationType::Format,
                   "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureAllLoggers(conf);
  el::Helpers::installLogDispatchCallback<BufferedDispatch>("buffered");
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  std::atexit(&FlushLog);
}

void AppendLogValue(std::string& line, std::string_view value) {
  const std::string_view shown = value.substr(0, kMaxLogValueBytes);
  if (std::none_of(shown.begin(), shown.end(), NeedsQuotes)) {
    line += shown;
  } else {
    line += '"';
    for (const char c : shown) {
      if (IsControl(c) || c == '"' || c == '\\')
        AppendEscaped(line, c);
      else
        line += c;
    }
    line += '"';
  }
  if (shown.size() < value.size())
    line += "...";
}

void WriteLog(LogLevel level, std::string_view part, const std::string& text) {
  if (level < g_level)
    return;
  std::string line = "[" + std::string(part) + "] ";
  for (const char c : text) {
    if (IsControl(c))
      AppendEscaped(line, c);
    else
      line += c;
  }
  switch (level) {
    case LogLevel::kDebug:
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      // The process may end before the next flush.
      FlushLog();
      return;
  }
}

}  // namespace sassafras
