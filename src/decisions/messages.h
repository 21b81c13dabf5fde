// Messages between the system's own processes.
//
// Every message tolerates loss and repetition: requests are idempotent by
// their exchange or record version and are sent again until answered.
#ifndef DECISIONS_MESSAGES_H_
#define DECISIONS_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/priority.h"
#include "decisions/documents.h"
#include "decisions/shard_views.h"
#include "decisions/topology.h"

namespace sassafras {

// ---- Membership ----

// What one zone knows of its own hosts, passed on from zone to zone.
struct ZoneMembership {
  ZoneId zone;
  // Time since the zone itself said so.
  int64_t age_ms = 0;
  std::vector<HostId> up;  // Includes the leaving ones.
  std::vector<HostId> leaving;
};

struct Heartbeat {
  static constexpr char kName[] = "heartbeat";
  uint64_t incarnation = 0;  // Differs at every start of the process.
  bool leaving = false;
  uint64_t digest = 0;  // Of the sender's replica of the documents.
  bool relay = false;   // The sender relays for its zone.
  std::vector<ZoneMembership> zones;
  // Ages, in milliseconds, of the word of zones whose lists have not changed.
  std::map<ZoneId, int64_t> ages_ms;
};

// Versions that the sender holds; asks for what it lacks.
struct DocumentSummary {
  static constexpr char kName[] = "document_summary";
  std::vector<DocumentVersion> versions;
};

struct DocumentBatch {
  static constexpr char kName[] = "document_batch";
  std::vector<Document> documents;
};

// ---- Load reports, from every host to the reporter of its zone ----

// Work of one service and priority that arrived at a host.
struct DemandSample {
  ServiceId service;
  Priority priority = Priority::kLow;
  double requests_per_second = 0;
  double service_seconds = 0;  // Mean time that one request holds a slot.
};

// Slots of one service and zone as its granter sees them.
struct SlotSample {
  ServiceId service;
  ZoneId zone;
  double healthy_slots = 0;
  double busy_slots = 0;
};

struct SyncedShard {
  int shard = 0;
  ViewNumber view;
};

struct HostReport {
  static constexpr char kName[] = "host_report";
  HostId host;
  RegionId region;
  ZoneId zone;
  bool leaving = false;
  Version intent_version;
  std::vector<DemandSample> demand;
  std::vector<SlotSample> slots;
  // Shards of this primary whose backup has just become complete.
  std::vector<SyncedShard> synced;
};

// ---- Slots ----

struct SlotRequest {
  static constexpr char kName[] = "slot_request";
  ExchangeId exchange;
  ServiceId service;
  ZoneId zone;
  RegionId origin;  // Region of the host that asks.
  Priority priority = Priority::kLow;
  CallerId caller;
  Fingerprint fingerprint;
  int64_t budget_ms = 0;  // Time left until the caller's deadline.
  // Endpoint that the exchange already runs on: told to a granter that has
  // just taken over. Empty for a new request.
  EndpointId held;
};

struct SlotGrant {
  static constexpr char kName[] = "slot_grant";
  ExchangeId exchange;
  ServiceId service;
  ZoneId zone;
  EndpointId endpoint;
  Address address;
};

enum class Refusal {
  kOverloaded,   // The deadline cannot be met by the queue.
  kNoEndpoint,   // No endpoint of the service is fit.
  kQuarantined,  // The request has broken endpoints before.
  kRegionFull,   // The region keeps its headroom from work of other regions.
};

template <>
struct NamesTable<Refusal> {
  static constexpr EnumName<Refusal> kNames[] = {
      {Refusal::kOverloaded, "overloaded"},
      {Refusal::kNoEndpoint, "no_endpoint"},
      {Refusal::kQuarantined, "quarantined"},
      {Refusal::kRegionFull, "region_full"},
  };
};
SASSAFRAS_ENUM_JSON(Refusal);

struct SlotRefusal {
  static constexpr char kName[] = "slot_refusal";
  ExchangeId exchange;
  Refusal reason = Refusal::kOverloaded;
  int64_t retry_after_ms = 0;
};

// How the use of a slot ended.
enum class SlotOutcome {
  kUnused,         // Given back without a dispatch.
  kAnswered,       // A whole answer other than a server fault.
  kFailed,         // A whole answer with a server fault.
  kShed,           // The endpoint refused and proved that nothing ran.
  kConnectFailed,  // No byte was sent.
  kBroken,         // The connection ended before the whole answer.
  kTimedOut,       // No whole answer before the deadline.
  kCancelled,      // The caller went away.
};

template <>
struct NamesTable<SlotOutcome> {
  static constexpr EnumName<SlotOutcome> kNames[] = {
      {SlotOutcome::kUnused, "unused"},
      {SlotOutcome::kAnswered, "answered"},
      {SlotOutcome::kFailed, "failed"},
      {SlotOutcome::kShed, "shed"},
      {SlotOutcome::kConnectFailed, "connect_failed"},
      {SlotOutcome::kBroken, "broken"},
      {SlotOutcome::kTimedOut, "timed_out"},
      {SlotOutcome::kCancelled, "cancelled"},
  };
};
SASSAFRAS_ENUM_JSON(SlotOutcome);

struct SlotRelease {
  static constexpr char kName[] = "slot_release";
  ExchangeId exchange;
  ServiceId service;
  ZoneId zone;
  SlotOutcome outcome = SlotOutcome::kUnused;
  int64_t held_us = 0;  // Time from dispatch to end.
};

// Asks an entry whether it still uses the slots of these exchanges.
struct SlotAudit {
  static constexpr char kName[] = "slot_audit";
  ServiceId service;
  ZoneId zone;
  std::vector<ExchangeId> exchanges;
};

// A request under which endpoints died.
struct PoisonNotice {
  static constexpr char kName[] = "poison_notice";
  Fingerprint fingerprint;
  std::vector<DeathId> died;
  bool ran_alone = false;  // It was the only one on the last of them.
  int64_t remaining_ms = 0;
};

// ---- Idempotency keys ----

// A whole answer as it is kept for repeated requests.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

enum class RecordState {
  kStarted,    // An exchange may dispatch or have dispatched the request.
  kFinished,   // The request ran; the answer is kept if it was small enough.
  kUnknown,    // The request may have run; it is never run again.
  kWithdrawn,  // The exchange gave up before any dispatch.
};

template <>
struct NamesTable<RecordState> {
  static constexpr EnumName<RecordState> kNames[] = {
      {RecordState::kStarted, "started"},
      {RecordState::kFinished, "finished"},
      {RecordState::kUnknown, "unknown"},
      {RecordState::kWithdrawn, "withdrawn"},
  };
};
SASSAFRAS_ENUM_JSON(RecordState);

struct KeyRecord {
  RequestKey key;
  Fingerprint body;
  RecordState state = RecordState::kStarted;
  // Grows with every change of the record.
  uint64_t revision = 0;
  HostId owner;  // Host of the exchange that may dispatch.
  ExchangeId exchange;
  bool answer_kept = false;
  StoredAnswer answer;
};

struct KeyBegin {
  static constexpr char kName[] = "key_begin";
  ExchangeId exchange;
  KeyHome home;
  RequestKey key;
  Fingerprint body;
};

// Permission to dispatch the exchange's request, once.
struct KeyGrant {
  static constexpr char kName[] = "key_go";
  ExchangeId exchange;
  KeyHome home;
  RequestKey key;
};

enum class KeyVerdict {
  kNotHolder,      // The receiver does not hold the shard in its newest view.
  kNoBackup,       // No second holder can acknowledge the record.
  kFull,           // No room for another record.
  kBodyDiffers,    // The key was used with another body.
  kUnknown,        // The request may have run before.
  kInProgress,     // Another exchange with the key is under way.
  kAnswerNotKept,  // The request ran; its answer is not kept.
};

template <>
struct NamesTable<KeyVerdict> {
  static constexpr EnumName<KeyVerdict> kNames[] = {
      {KeyVerdict::kNotHolder, "not_holder"},
      {KeyVerdict::kNoBackup, "no_backup"},
      {KeyVerdict::kFull, "ledger_full"},
      {KeyVerdict::kBodyDiffers, "body_differs"},
      {KeyVerdict::kUnknown, "outcome_unknown"},
      {KeyVerdict::kInProgress, "in_progress"},
      {KeyVerdict::kAnswerNotKept, "answer_not_kept"},
  };
};
SASSAFRAS_ENUM_JSON(KeyVerdict);

struct KeyRefusal {
  static constexpr char kName[] = "key_refusal";
  ExchangeId exchange;
  KeyVerdict verdict = KeyVerdict::kUnknown;
  // The holder proves that no request with this key has run.
  bool not_run = false;
};

// The kept answer of an earlier request with the same key.
struct KeyAnswer {
  static constexpr char kName[] = "key_answer";
  ExchangeId exchange;
  StoredAnswer answer;
};

// How the owner's exchange ended.
struct KeyComplete {
  static constexpr char kName[] = "key_complete";
  ExchangeId exchange;
  KeyHome home;
  RequestKey key;
  RecordState state = RecordState::kUnknown;
  bool answer_kept = false;
  StoredAnswer answer;
};

// The outcome of `exchange` is held by both holders. `not_run` tells a
// withdrawn exchange that no request with the key has run.
struct KeyCompleted {
  static constexpr char kName[] = "key_completed";
  ExchangeId exchange;
  bool not_run = false;
};

// Copies records from a primary to its backup.
struct KeyReplicate {
  static constexpr char kName[] = "key_replicate";
  RegionId region;
  int shard = 0;
  ViewNumber view;
  std::vector<KeyRecord> records;
};

struct RecordRevision {
  RequestKey key;
  uint64_t revision = 0;
};

struct KeyReplicated {
  static constexpr char kName[] = "key_replicated";
  RegionId region;
  int shard = 0;
  ViewNumber view;
  // The receiver holds another view, in which the sender may not be primary.
  bool refused = false;
  std::vector<RecordRevision> records;
};

// Up to which revision of the store a kind is known; zero: not at all.
struct CachePosition {
  std::string kind;
  uint64_t as_of = 0;
};

// Asks a relay for what the store has changed since these positions; repeated
// as a sign of life.
struct CacheFollow {
  static constexpr char kName[] = "belief_follow";
  std::vector<CachePosition> positions;
};

// An object of the store as a relay passes it on. One that was removed has
// `removed`, and no value; its revision is one at which it was gone.
struct CacheItem {
  std::string kind;
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  std::string value;
};

// Stretch of a kind's history that a push covers: the changes after revision
// `from` up to `as_of`.
struct CacheSpan {
  std::string kind;
  uint64_t from = 0;
  uint64_t as_of = 0;
  // Not all removals are known; what is not among `names` is gone.
  bool is_list = false;
  std::vector<std::string> names;
};

// Objects of the store from a relay.
struct CachePush {
  static constexpr char kName[] = "belief_push";
  // For how long yet a removed record need not mean that its endpoint left.
  uint64_t doubt_ms = 0;
  // Age of the relay's last answer from the store.
  uint64_t store_age_ms = 0;
  std::vector<CacheSpan> spans;
  std::vector<CacheItem> items;
};

using Message = std::variant<Heartbeat,
                             DocumentSummary,
                             DocumentBatch,
                             HostReport,
                             SlotRequest,
                             SlotGrant,
                             SlotRefusal,
                             SlotRelease,
                             SlotAudit,
                             PoisonNotice,
                             KeyBegin,
                             KeyGrant,
                             KeyRefusal,
                             KeyAnswer,
                             KeyComplete,
                             KeyCompleted,
                             KeyReplicate,
                             KeyReplicated,
                             CacheFollow,
                             CachePush>;

// A message on its way to a host.
struct Envelope {
  HostId to;
  Message message;
};

}  // namespace sassafras

#endif  // DECISIONS_MESSAGES_H_
