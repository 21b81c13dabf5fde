// Settings of a process, read from TOML files. Unknown fields and values of the
// wrong type are errors.
//
// The deployment file contains the settings shared by all hosts. A host file
// refers to the deployment file and adds a section for the host.
// docs/OPERATIONS.md describes every field.
#ifndef BASE_SETTINGS_H_
#define BASE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/priority.h"
#include "base/time.h"

namespace sassafras {

struct RegionSettings {
  RegionId name;
  std::vector<ZoneId> zones;
  struct ClientBlock {
    uint32_t first_ip = 0;
    int prefix_bits = 0;
  };
  std::vector<ClientBlock> client_blocks;
};

struct RouteSettings {
  std::string method;
  std::string path;
  Priority priority = Priority::kLow;
  bool idempotent = true;
  Duration timeout = std::chrono::seconds(10);
  uint64_t max_body_bytes = 0;
};

struct ServiceSettings {
  ServiceId name;
  std::string shed_header;
  std::vector<RouteSettings> routes;
};

struct SeedSettings {
  HostId host;
  RegionId region;
  ZoneId zone;
  Address caller_address;
  Address peer_address;
};

// The section of a host file.
struct HostSettings {
  HostId name;
  RegionId region;
  ZoneId zone;
  Address caller_address;
  Address peer_address;
  Address operator_address;
  Address control_peer_address;
  Address control_operator_address;
};

struct LedgerSettings {
  uint64_t max_records = 200000;
  uint64_t max_answer_bytes = 64ULL << 20;  // Of all kept answers together.
  uint64_t max_answer_size = 64 << 10;      // Of one kept answer, in bytes.
  std::chrono::seconds retention{1200};
};

struct LimitSettings {
  uint64_t max_connections = 4000;
  // Limit for the body of a request with an idempotency key. Such a request is
  // buffered completely before it is dispatched.
  uint64_t max_keyed_body_bytes = 1 << 20;
  // Size of the buffer through which an entry host passes on one body between
  // caller and endpoint. Each request body and each answer body has its own.
  uint64_t stream_buffer_bytes = 256 << 10;
  std::chrono::seconds idle_timeout{60};
  // A stopping process exits after this time, even if requests are still
  // running.
  std::chrono::seconds stop_timeout{120};
};

struct Settings {
  std::string deployment;
  Address store;
  std::chrono::milliseconds store_timeout{2000};
  std::string peer_key;
  std::vector<SeedSettings> seeds;
  LogLevel log_level = LogLevel::kInfo;
  LimitSettings limits;
  LedgerSettings ledger;
  std::vector<RegionSettings> regions;
  std::vector<ServiceSettings> services;
  std::optional<HostSettings> host;
};

// One error in a settings file.
struct SettingsError {
  std::string file;
  int line = 0;
  int column = 0;
  std::string field;
  std::string reason;

  // "FILE:LINE:COL: field: reason".
  std::string ToString() const;
};

struct SettingsReadResult {
  Settings settings;
  // All errors found; empty if the settings are usable.
  std::vector<SettingsError> errors;
};

// Reads a deployment file or a host file.
SettingsReadResult ReadSettings(const std::string& path);

// Reads the text of a deployment file; `name` is the file name in errors.
SettingsReadResult ReadSettingsText(const std::string& text,
                                    const std::string& name);

}  // namespace sassafras

#endif  // BASE_SETTINGS_H_
