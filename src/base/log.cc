#include "base/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace sassafras {

namespace {

LogLevel g_level = LogLevel::kInfo;

}  // namespace

void InitLog(LogLevel level) {
  g_level = level;
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  conf.setGlobally(el::ConfigurationType::Format,
                   "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureAllLoggers(conf);
}

void WriteLog(LogLevel level, std::string_view part, const std::string& text) {
  if (level < g_level)
    return;
  const std::string line = "[" + std::string(part) + "] " + text;
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
      return;
  }
}

}  // namespace sassafras
