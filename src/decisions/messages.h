// Messages between the processes of the deployment.
//
// Every message may be lost or delivered more than once: requests are
// idempotent by their exchange or record revision and are resent until they
// are answered.
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
#include "decisions/store_position.h"
#include "decisions/topology.h"

namespace sassafras {

// ---- Membership ----

// Hosts of one zone as that zone reports them; other zones forward the list.
struct ZoneMembership {
  ZoneId zone;
  // Time since the zone itself sent this list.
  int64_t age_ms = 0;
  std::vector<HostId> up;  // Live hosts, including those in `leaving`.
  std::vector<HostId> leaving;
};

struct Heartbeat {
  static constexpr char kName[] = "heartbeat";
  uint64_t incarnation = 0;  // Different for every start of the process.
  bool leaving = false;
  uint64_t digest = 0;  // Digest of the sender's replica of the documents.
  bool relay = false;   // The sender is a relay of its zone.
  std::vector<ZoneMembership> zones;
  // Zones whose lists have not changed, with the age of each list.
  std::map<ZoneId, int64_t> ages_ms;
};

// Versions that the sender holds. The receiver answers with newer documents.
struct DocumentSummary {
  static constexpr char kName[] = "document_summary";
  std::vector<DocumentVersion> versions;
};

struct DocumentBatch {
  static constexpr char kName[] = "document_batch";
  std::vector<Document> documents;
};

// ---- Load reports, from each host to its zone's reporter ----

// Requests of one service and priority that arrived at a host.
struct DemandSample {
  ServiceId service;
  Priority priority = Priority::kLow;
  double requests_per_second = 0;
  double service_seconds = 0;  // Mean time that one request holds a slot.
};

// Slots of one service and zone, as counted by its granter.
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
  // Shards of which this host is primary and whose backup has acknowledged
  // every record, while the view does not yet say so.
  std::vector<SyncedShard> synced;
};

// ---- Slots ----

struct SlotRequest {
  static constexpr char kName[] = "slot_request";
  ExchangeId exchange;
  ServiceId service;
  ZoneId zone;
  RegionId origin;  // Region of the requesting host.
  Priority priority = Priority::kLow;
  CallerId caller;
  Fingerprint fingerprint;
  int64_t budget_ms = 0;  // Time left until the caller's deadline.
  // Endpoint on which the exchange is already running, sent to a granter that
  // has just taken over. Empty for a new request.
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
  kOverloaded,   // The expected queueing time exceeds the deadline.
  kNoEndpoint,   // No endpoint of the service can take work.
  kQuarantined,  // The request has crashed endpoints before.
  kRegionFull,   // Only headroom reserved for the region's own work is left.
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
  kUnused,         // Released without a dispatch.
  kAnswered,       // A complete answer that is not a server error.
  kFailed,         // A complete answer with a server error.
  kShed,           // The endpoint refused and stated that nothing ran.
  kConnectFailed,  // No byte was sent.
  kBroken,         // The connection closed before the answer was complete.
  kTimedOut,       // No complete answer before the deadline.
  kCancelled,      // The caller disconnected.
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
  int64_t held_us = 0;  // Time from dispatch to release; 0 if not dispatched.
};

// Asks an entry host whether it still uses the slots of these exchanges.
struct SlotAudit {
  static constexpr char kName[] = "slot_audit";
  ServiceId service;
  ZoneId zone;
  std::vector<ExchangeId> exchanges;
};

// A request that was running on endpoints when they crashed.
struct PoisonNotice {
  static constexpr char kName[] = "poison_notice";
  Fingerprint fingerprint;
  std::vector<DeathId> died;
  bool ran_alone = false;  // It was the only request at the last crash.
  int64_t remaining_ms = 0;
};

// ---- Idempotency keys ----

// A complete answer, stored to be replayed to repeated requests.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

enum class RecordState {
  kStarted,    // An exchange may have dispatched the request or may yet.
  kFinished,   // The request ran; the answer is kept if it was small enough.
  kUnknown,    // The request may have run; it is never run again.
  kWithdrawn,  // The exchange ended before any dispatch.
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
  // Incremented with every change of the record.
  uint64_t revision = 0;
  HostId owner;  // Entry host of the exchange that may dispatch.
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

// Permits the exchange to dispatch its request once.
struct KeyGrant {
  static constexpr char kName[] = "key_go";
  ExchangeId exchange;
  KeyHome home;
  RequestKey key;
};

enum class KeyVerdict {
  kNotHolder,      // The receiver does not hold the shard in its newest view.
  kNoBackup,       // No second holder can acknowledge the record.
  kFull,           // The maximum number of records is reached.
  kBodyDiffers,    // The key was used with another body.
  kUnknown,        // The request may have run before.
  kInProgress,     // Another exchange with the key is in progress.
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
  // The holder knows for certain that no request with this key has run.
  bool not_run = false;
};

// The kept answer of an earlier request with the same key.
struct KeyAnswer {
  static constexpr char kName[] = "key_answer";
  ExchangeId exchange;
  StoredAnswer answer;
};

// Outcome of the owner's exchange.
struct KeyComplete {
  static constexpr char kName[] = "key_complete";
  ExchangeId exchange;
  KeyHome home;
  RequestKey key;
  RecordState state = RecordState::kUnknown;
  bool answer_kept = false;
  StoredAnswer answer;
};

// Confirms a KeyComplete, which is resent until then: both holders have
// recorded the outcome, or the primary has nothing to record. `not_run` tells
// a withdrawn exchange that no request with the key has run.
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
  // The receiver's view differs, so the sender may no longer be primary.
  bool refused = false;
  std::vector<RecordRevision> records;
};

// Position in the store up to which a kind is known.
struct CachePosition {
  std::string kind;
  StorePosition as_of;
  // In CacheFollow: a push began after `as_of`, so that an earlier one was
  // lost.
  bool has_lost_push = false;
};

// Asks a relay for the changes of the store since these positions. Repeated
// as a keep-alive.
struct CacheFollow {
  static constexpr char kName[] = "belief_follow";
  std::vector<CachePosition> positions;
};

// A store object forwarded by a relay. A removed object has `removed` set and
// no value; its position is one at which it no longer existed.
struct CacheItem {
  std::string kind;
  std::string name;
  StorePosition position;
  bool removed = false;
  std::string value;
  // The change was met together with a new era, so that it may only show that
  // the store's copy is older. Not sent to other hosts.
  bool is_restored = false;
};

// Positions of a kind that a push covers: the changes after `from` up to and
// including `as_of`.
struct CacheSpan {
  std::string kind;
  StorePosition from;
  StorePosition as_of;
  // Not all removals are known: every object that is not in `names` was
  // removed.
  bool is_list = false;
  std::vector<std::string> names;
  // The sender may not know all objects; never set together with `is_list`.
  bool is_partial = false;
};

// Of CachePush::state_age_ms; longer than any process runs.
inline constexpr uint64_t kUnknownStateAgeMs = uint64_t{1} << 40;

// Store objects sent by a relay.
struct CachePush {
  static constexpr char kName[] = "belief_push";
  // Remaining time during which a removed record does not prove that its
  // endpoint is gone.
  uint64_t doubt_ms = 0;
  // Time since the relay's last answer from the store.
  uint64_t store_age_ms = 0;
  // Time since the relay's state was known to be current; kUnknownStateAgeMs if
  // it was not since its start.
  uint64_t state_age_ms = 0;
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

// A message and its destination.
struct Envelope {
  HostId to;
  Message message;
};

}  // namespace sassafras

#endif  // DECISIONS_MESSAGES_H_
