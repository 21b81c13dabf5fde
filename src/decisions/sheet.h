// The morning sheet: reading its rows from CSV and judging each of them.
//
// The first line names the columns. A row declares one thing; which columns
// it fills depends on its `kind`. docs/SHEET.md describes them all.
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
  kShare,     // Share of a service for a zone.
  kLeaving,   // An endpoint leaves.
  kPriority,  // Treatment of a priority class of a service.
  kShiftCap,  // Cap on moves of a service's work.
  kHeadroom,  // Free part of a region.
  kLink,      // Budget between two regions.
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
  std::map<SheetColumn, std::string> cells;  // Without the empty ones.
};

struct Sheet {
  std::vector<SheetRow> rows;
  uint64_t hash = 0;  // Of the file's bytes.
};

// The verdict on one row.
struct RowVerdict {
  int line = 0;
  bool accepted = false;
  std::string field;   // Column at fault; empty if accepted.
  std::string reason;  // Empty if accepted.
};

// What a sheet declares, as far as it was accepted, with all verdicts.
struct SheetReading {
  struct ServiceChanges {
    std::optional<std::map<ZoneId, double>> shares;
    std::optional<PerPriority<PriorityIntent>> priorities;
    std::optional<double> shift_cap_per_minute;
  };
  std::map<ServiceId, ServiceChanges> services;
  std::vector<LeavingEndpoint> leaving;
  // Endpoints named by refused rows: what was declared of them before stands.
  std::set<EndpointId> refused_leaving;
  std::map<RegionId, double> headroom;
  std::vector<LinkBudget> links;
  std::vector<RowVerdict> verdicts;      // One per row, by line.
  std::set<ServiceId> refused_services;  // With a refused row.
};

// Splits CSV text into rows. Fails if the file as a whole is unreadable: no
// header, an unknown or repeated column, broken quotes, or a row with more
// cells than columns. `name` is the file's name for errors.
Result<Sheet> ParseSheet(std::string_view text, const std::string& name);

// Judges every row. Rows that only make sense together are accepted or
// refused together.
SheetReading ReadSheet(const Sheet& sheet, const Topology& topology);

size_t CountAccepted(const SheetReading& reading);

}  // namespace sassafras

#endif  // DECISIONS_SHEET_H_
