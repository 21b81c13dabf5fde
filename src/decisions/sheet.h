// Parses and validates the sheet, a CSV file in which operators declare shares,
// leaving endpoints, priorities, shift caps, headroom and link budgets.
//
// The first line names the columns. Each row declares one setting; its `kind`
// determines which columns it uses. docs/SHEET.md describes all kinds.
#ifndef DECISIONS_SHEET_H_
#define DECISIONS_SHEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/names_table.h"
#include "decisions/intent.h"
#include "decisions/topology.h"

namespace sassafras {

enum class RowKind {
  kShare,     // Share of a service's work for a zone.
  kLeaving,   // An endpoint gets no new work from a given time on.
  kPriority,  // Settings of a priority class of a service.
  kShiftCap,  // Maximum fraction of a service's work moved per minute.
  kHeadroom,  // Fraction of a region's slots kept free.
  kLink,      // Network capacity between two regions.
};

template <>
struct NamesTable<RowKind> {
  static constexpr EnumName<RowKind> kNames[] = {
      {RowKind::kShare, "share"},       {RowKind::kLeaving, "leaving"},
      {RowKind::kPriority, "priority"}, {RowKind::kShiftCap, "shift_cap"},
      {RowKind::kHeadroom, "headroom"}, {RowKind::kLink, "link"},
  };
};

enum class SheetColumn {
  kKind,
  kService,
  kRegion,
  kZone,
  kEndpoint,
  kPriority,
  kPercent,
  kWeight,
  kAt,
  kToRegion,
  kGbit,
};

template <>
struct NamesTable<SheetColumn> {
  static constexpr EnumName<SheetColumn> kNames[] = {
      {SheetColumn::kKind, "kind"},
      {SheetColumn::kService, "service"},
      {SheetColumn::kRegion, "region"},
      {SheetColumn::kZone, "zone"},
      {SheetColumn::kEndpoint, "endpoint"},
      {SheetColumn::kPriority, "priority"},
      {SheetColumn::kPercent, "percent"},
      {SheetColumn::kWeight, "weight"},
      {SheetColumn::kAt, "at"},
      {SheetColumn::kToRegion, "to_region"},
      {SheetColumn::kGbit, "gbit"},
  };
};

struct SheetRow {
  int line = 0;  // Line of the file on which the row starts, from 1.
  std::map<SheetColumn, std::string> cells;  // Without empty cells.
};

struct Sheet {
  std::vector<SheetRow> rows;
  uint64_t hash = 0;  // Of the file's bytes.
};

// The validation result of one row.
struct RowVerdict {
  int line = 0;
  bool accepted = false;
  std::string field;   // Column with the error; empty if accepted.
  std::string reason;  // Empty if accepted.
};

// The accepted content of a sheet and the verdicts on all rows.
struct SheetReading {
  struct ServiceChanges {
    std::optional<std::map<ZoneId, double>> shares;
    std::optional<PerPriority<PriorityIntent>> priorities;
    std::optional<double> shift_cap_per_minute;
  };
  std::map<ServiceId, ServiceChanges> services;
  std::vector<LeavingEndpoint> leaving;
  // Endpoints of refused rows; their earlier declarations stay in force.
  std::set<EndpointId> refused_leaving;
  std::map<RegionId, double> headroom;
  std::vector<LinkBudget> links;
  std::vector<RowVerdict> verdicts;      // One per row, by line.
  std::set<ServiceId> refused_services;  // Services with a refused row.
};

// Splits CSV text into rows. Fails if the file as a whole cannot be read:
// larger than 1 MB, no header, an unknown or repeated column, no column `kind`,
// an unclosed quote, or a row with more cells than columns. `name` is the file
// name used in errors.
Result<Sheet> ParseSheet(std::string_view text, const std::string& name);

// Validates every row. The share rows of a service are accepted or refused
// together, and so are its priority rows.
SheetReading ReadSheet(const Sheet& sheet, const Topology& topology);

size_t CountAccepted(const SheetReading& reading);

}  // namespace sassafras

#endif  // DECISIONS_SHEET_H_
