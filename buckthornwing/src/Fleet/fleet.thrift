// Messages between instances behind a tagging fabric. The C++ code in generated/
// is generated from this file by scripts/generate-code and is committed.
namespace cpp buckthornwing.fleetwire

struct Member {
  1: string id
  2: string zone
  3: string address
  4: i64 incarnation
  5: bool stopping
  6: bool hasView
  7: optional i8 capacityClass // not set by versions that don't know it
}

// A member that the sender knows, and the time since any instance received a
// message of it.
struct Gossip {
  1: Member member
  2: i32 heardAgoMs
}

// Identifies one event that an instance observed, so that receivers take over
// its age only once.
struct EventStamp {
  1: i32 origin
  2: i64 at
}

// A zone that the operator has evacuated, with the version of its entry.
struct EvacuatedZone {
  1: string zone
  2: i64 revision
  3: i64 era
}

// All evacuations up to a position in the store's history.
struct Evacuations {
  1: i64 revision
  2: i64 era
  3: list<EvacuatedZone> zones
}

struct ViewVersions {
  1: i64 targetsRevision
  2: i64 routesVersion
  3: i64 routesRevision
  4: i32 targetsAgeMs
  5: i32 routesAgeMs
  6: i32 unwellAgoMs
  7: EventStamp targetsConfirmation
  8: EventStamp routesConfirmation
  9: EventStamp storeFailure
  // Eras of the two revisions; not set by versions that know no eras.
  10: optional i64 targetsEra
  11: optional i64 routesEra
  // Not set by versions that don't know evacuations.
  12: optional Evacuations evacuations
}

// Field 1 was the target's number, which several entries may have.
struct TargetReport {
  2: i32 flows
  3: i32 busy
  4: i32 silentFlows
  5: optional i32 sinceProgressMs // not set: the target was never seen to answer
  6: bool dead
  7: i32 target // short hash of the target's id
  8: optional i32 serviceTenthMs // mean service time, in tenths of a millisecond
  // Sums over all instances of the sender's zone, as known to the sender. Set
  // if the receiver is of another zone.
  9: optional i32 totalFlows
  10: optional i32 totalBusy
}

struct Heartbeat {
  1: ViewVersions view
  2: list<Gossip> members
  3: list<TargetReport> reports
  // Five bytes for each member: its key as four bytes, big-endian, and the time
  // since any instance received a message of it, in units of 40 ms (at most 255).
  4: binary signs
}

// Requests an update, or the next parts of one that is being transferred.
struct ViewRequest {
  1: i8 content
  2: i64 have
  3: i64 transfer
  4: i32 offset
  // Era of a revision of targets.
  5: optional i64 era
}

struct Label {
  1: string key
  2: string value
}

struct Target {
  1: string id
  2: i64 revision
  3: i8 kind
  4: i64 number
  5: string address
  6: string zone
  7: list<Label> labels
  8: i32 slots
  9: i8 state
  10: i32 slowForMs
  11: i64 incarnation
  // Such a target takes no new flows; "state" then says draining, for versions
  // that don't know this field.
  12: optional bool awaitsRenewal
}

struct Share {
  1: i32 slot
  2: i32 weight
}

struct Route {
  1: string name
  2: string destination
  3: i8 kind
  4: i32 timeoutMs
  5: i32 latencyObjectiveMs
  6: i32 priority
  7: list<Share> services
}

struct Service {
  1: string name
  2: string selector
  3: string healthPath
  4: optional double warmupRate // requests a second that a cold target bears
}

struct RouteChanges {
  1: i64 base
  2: i64 version
  4: i32 idleTimeoutMs
  5: list<Service> services
  6: list<Route> routes
  7: list<string> removed
}

// The changes since the base revision.
struct ViewUpdate {
  1: ViewVersions view
  2: i64 targetsBase
  3: bool isFull
  4: list<Target> targets
  5: optional RouteChanges routes
  // Digest of the listed targets that did not change after the base.
  6: optional i64 unchangedDigest
}

// A part of an encoded ViewUpdate.
struct ViewPart {
  1: i64 transfer
  2: i32 offset
  3: i32 total
  4: binary bytes
  5: i8 content
}

// Requests the full entries of members whose keys are unknown to the sender:
// four bytes for each key, big-endian.
struct MemberRequest {
  1: binary keys
}

union Body {
  1: Heartbeat heartbeat
  2: ViewRequest viewRequest
  3: ViewPart viewPart
  4: MemberRequest memberRequest
}

struct Envelope {
  1: Member sender
  2: Body body
}
