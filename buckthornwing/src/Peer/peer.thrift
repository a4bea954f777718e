// Messages between entry instances. The C++ code under generated/ is made from
// this file by scripts/generate-code and is committed.
namespace cpp buckthornwing.wire

struct Header {
  1: i32 incarnation
  2: i8 phase
  3: i64 revision
  4: i32 statesVersion
}

struct MemberUpdate {
  1: string id
  2: string zone
  3: string address
  4: i8 liveness
  5: i8 phase
  6: i32 incarnation
}

struct Probe {
  1: i8 kind
  2: i32 sequence
  3: i32 subject
  4: list<MemberUpdate> updates
}

struct Relay {
  1: list<i32> tried
  2: binary packet
}

struct FlowBatch {
  1: i32 sequence
  2: i8 purpose
  3: i32 serviceTag
  4: list<i32> targets
  5: binary records
}

struct Acknowledgement {
  1: list<i32> sequences
}

struct ServiceBuckets {
  1: i32 serviceTag
  2: binary buckets
}

struct BucketStates {
  1: i32 version
  2: i64 revision
  3: i16 part
  4: i16 parts
  5: list<ServiceBuckets> services
  6: binary slots
}

struct StatesRequest {
}

struct OwnershipTransfer {
  1: i32 sequence
  2: bool complete
  3: binary slots
}

struct LoadSummary {
  1: i64 revision
  2: binary counts
  3: binary serviceCounts
}

struct ConfigurationRequest {
  1: i64 have
  2: i64 want
  3: i32 offset
}

struct ConfigurationPart {
  1: i64 base
  2: i64 revision
  3: i32 offset
  4: i32 total
  5: binary text
}

union Body {
  1: Probe probe
  2: Relay relay
  3: FlowBatch flowBatch
  4: Acknowledgement acknowledgement
  5: BucketStates bucketStates
  6: StatesRequest statesRequest
  7: OwnershipTransfer ownershipTransfer
  8: LoadSummary loadSummary
  9: ConfigurationRequest configurationRequest
  10: ConfigurationPart configurationPart
}

struct Envelope {
  1: Header header
  2: Body body
}
