/// \file
/// \brief Messages of BucketStatesController: builds, sends, requests and
/// applies announcements of the flags of buckets.

#include "BucketStatesController.h"

#include "BucketFlags.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Interval at which an announcement is requested from one member.
constexpr MilliDuration kRequestPeriod{ 300 };
/// \brief Maximum size of the packed buckets in one part of an announcement.
constexpr std::size_t kMaxPartBytes = 1100;

}

std::vector<BucketStates>
BucketStatesController::buildStates() const
{
  std::vector<BucketStates> parts(1);
  std::size_t bytes = 0;
  for (const Service& service : this->board.services) {
    if (!service.mayHaveFlags) {
      continue;
    }
    std::vector<std::uint32_t> buckets;
    for (BucketIndex b = 0; b < service.bucketCount(); ++b) {
      const bool flagged = (service.flags[b] & internal::kUnsettled) != 0;
      if (flagged && this->board.slots[slotOf(b)].acting()) {
        buckets.push_back(b);
      }
    }
    // A service with many flagged buckets is split over several parts.
    constexpr std::size_t kBucketsPerPiece = 500;
    for (std::size_t i = 0; i < buckets.size(); i += kBucketsPerPiece) {
      const std::size_t count = std::min(kBucketsPerPiece, buckets.size() - i);
      ServiceBuckets piece{
        service.tag, packAscending(std::span(buckets).subspan(i, count))
      };
      if (bytes > 0 && bytes + piece.buckets.size() > internal::kMaxPartBytes) {
        parts.emplace_back();
        bytes = 0;
      }
      bytes += piece.buckets.size() + sizeof piece.service;
      parts.back().services.push_back(std::move(piece));
    }
  }
  std::vector<std::uint32_t> slots;
  for (SlotIndex i = 0; i < kSlotCount; ++i) {
    if (this->board.slots[i].acting()) {
      slots.push_back(i);
    }
  }
  parts.front().slots = packAscending(slots);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].version = this->board.statesVersion;
    parts[i].revision = this->board.view.revision;
    parts[i].part = static_cast<std::uint16_t>(i);
    parts[i].parts = static_cast<std::uint16_t>(parts.size());
  }
  return parts;
}

void
BucketStatesController::sendStates(MemberIndex to)
{
  // The announcement clears flags at the member. A member that returned while
  // the records of away flows were sent must receive these records first.
  const bool knowsAwayFlows = this->board.members[to].awayRecordsSent &&
                              this->sender.idle(to, BatchPurpose::away);
  if (!knowsAwayFlows) {
    this->onStatesRequest(to);
    this->sendVersion(to);
    return;
  }
  for (BucketStates& part : this->buildStates()) {
    this->board.send(to, std::move(part));
  }
}

void
BucketStatesController::sendVersion(MemberIndex to)
{
  this->board.send(to, Acknowledgement{});
}

void
BucketStatesController::repeatVersion(MilliTime now)
{
  if (now >= this->repeatVersionUntil || now < this->nextVersionAt) {
    return;
  }
  this->nextVersionAt = now + internal::kVersionRepeatPeriod;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    if (this->board.members[i].reachable()) {
      this->sendVersion(i);
    }
  }
}

void
BucketStatesController::announce()
{
  ++this->board.statesVersion;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    if (this->board.members[i].reachable()) {
      this->sendStates(i);
    }
  }
}

void
BucketStatesController::onBucketStates(MemberIndex from,
                                       const BucketStates& states)
{
  const Member& member = this->board.members[from];
  const bool current = states.revision == this->board.view.revision &&
                       states.version == member.statesVersion &&
                       states.parts > 0 && states.part < states.parts;
  if (!current) {
    return;
  }
  Assembly& assembly = this->assemblies[from];
  if (assembly.version != states.version ||
      assembly.have.size() != states.parts) {
    assembly = Assembly{ states.version,
                         std::vector<bool>(states.parts),
                         {},
                         std::vector<bool>(kSlotCount) };
  }
  assembly.have[states.part] = true;
  const auto slots = unpackAscending(states.slots);
  if (!slots) {
    return;
  }
  for (const std::uint32_t slot : *slots) {
    if (slot < kSlotCount) {
      assembly.slots[slot] = true;
    }
  }
  for (const ServiceBuckets& piece : states.services) {
    const auto service = this->board.serviceByTag.find(piece.service);
    const auto buckets = unpackAscending(piece.buckets);
    if (service == this->board.serviceByTag.end() || !buckets) {
      return;
    }
    auto& flagged = assembly.flagged[service->second];
    flagged.insert(flagged.end(), buckets->begin(), buckets->end());
  }
  const bool complete = std::all_of(
    assembly.have.begin(), assembly.have.end(), [](bool have) { return have; });
  if (complete) {
    this->applyStates(from, assembly);
    this->assemblies.erase(from);
  }
}

void
BucketStatesController::applyStates(MemberIndex from, const Assembly& assembly)
{
  for (std::size_t s = 0; s < this->board.services.size(); ++s) {
    Service& service = this->board.services[s];
    std::vector<bool> flagged(service.bucketCount());
    const auto found = assembly.flagged.find(static_cast<ServiceIndex>(s));
    if (found != assembly.flagged.end()) {
      for (const std::uint32_t bucket : found->second) {
        if (bucket < flagged.size()) {
          flagged[bucket] = true;
        }
      }
    }
    for (BucketIndex b = 0; b < service.bucketCount(); ++b) {
      std::uint8_t& flags = service.flags[b];
      const Slot& slot = this->board.slots[slotOf(b)];
      if (flagged[b] && (flags & internal::kUnsettled) == 0) {
        flags |= bucket_flag::kDiverted;
        service.mayHaveFlags = true;
      }
      // Only the owner may clear flags; they stay while the owner is uncertain.
      const bool owner =
        slot.owners.primary == from || slot.previousOwner == from;
      if (!flagged[b] && owner && assembly.slots[slotOf(b)]) {
        internal::clearFlags(flags, internal::kUnsettled);
      }
    }
  }
  Member& member = this->board.members[from];
  member.statesApplied = member.statesVersion;
}

void
BucketStatesController::onStatesRequest(MemberIndex from)
{
  if (std::find(this->requests.begin(), this->requests.end(), from) ==
      this->requests.end()) {
    this->requests.push_back(from);
  }
}

void
BucketStatesController::answerRequests()
{
  std::erase_if(this->requests, [&](MemberIndex to) {
    Member& member = this->board.members[to];
    if (!member.reachable()) {
      return true;
    }
    if (!member.awayRecordsSent) {
      member.awayRecordsSent = true;
      for (const auto& [flow, entry] : this->board.flows) {
        if (entry.has(entry_flag::kOwned) && entry.has(entry_flag::kAway)) {
          this->sender.enqueue(to, BatchPurpose::away, flow);
        }
      }
    }
    if (!this->sender.idle(to, BatchPurpose::away)) {
      return false;
    }
    this->sendStates(to);
    return true;
  });
}

std::vector<bool>
BucketStatesController::unverifiedOwners()
{
  std::vector<bool> owners(this->board.members.size());
  bool any = false;
  for (const Service& service : this->board.services) {
    for (BucketIndex b = 0; b < service.bucketCount(); ++b) {
      const MemberIndex primary = this->board.slots[slotOf(b)].owners.primary;
      const bool unverified =
        (service.flags[b] & bucket_flag::kUnverified) != 0;
      any = any || unverified;
      if (unverified && primary != kNoMember) {
        owners[primary] = true;
      }
    }
  }
  this->anyUnverified = any;
  return owners;
}

void
BucketStatesController::requestMissing(MilliTime now)
{
  std::vector<bool> unverified(this->board.members.size());
  if (this->anyUnverified && now >= this->nextUnverifiedAt) {
    this->nextUnverifiedAt = now + internal::kSettlePeriod;
    unverified = this->unverifiedOwners();
  }
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    Member& member = this->board.members[i];
    const bool missing =
      member.reachable() &&
      (member.statesApplied != member.statesVersion || unverified[i]) &&
      member.revision == this->board.view.revision;
    const bool due = member.statesAskedAt.ms < 0 ||
                     now - member.statesAskedAt >= internal::kRequestPeriod;
    if (missing && due) {
      member.statesAskedAt = now;
      this->board.send(i, StatesRequest{});
    }
  }
}

}
