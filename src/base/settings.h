// Settings of a process, read strictly from TOML files.
//
// A deployment's file holds what all hosts share. A host's file names the
// deployment's file and adds the host's own section. docs/OPERATIONS.md
// describes every field.
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

// The part that belongs to one host.
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
  uint64_t max_answer_bytes = 64ULL << 20;
  uint64_t max_answer_size = 64 << 10;
  std::chrono::seconds retention{1200};
};

struct LimitSettings {
  uint64_t max_connections = 4000;
  // Requests with a key are held in whole before they are dispatched.
  uint64_t max_keyed_body_bytes = 1 << 20;
  // Bytes of one body that an entry host holds between caller and endpoint.
  uint64_t stream_buffer_bytes = 256 << 10;
  std::chrono::seconds idle_timeout{60};
  // A stopping process ends after this time whatever still runs.
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

// One fault of a settings file.
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
  std::vector<SettingsError> errors;  // All of them; empty if usable.
};

// Reads a deployment's or a host's file.
SettingsReadResult ReadSettings(const std::string& path);

// Reads a deployment's text; `name` stands for the file in faults.
SettingsReadResult ReadSettingsText(const std::string& text,
                                    const std::string& name);

}  // namespace sassafras

#endif  // BASE_SETTINGS_H_
