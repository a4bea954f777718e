#include "ConfigurationController.h"

#include "ConfigurationDelta.h"
#include "ServiceUpdate.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Maximum time from the adoption of a revision to its commit. Instances
/// that have not learned of the revision by then have lost contact, and so they
/// do not use their lookup tables.
constexpr MilliDuration kCommitTimeout{ 1200 };
/// \brief Time after which a request for a newer revision is repeated.
constexpr MilliDuration kRequestRetryPeriod{ 300 };
/// \brief Maximum text in one part, in bytes; with its envelope it stays below
/// the usual path MTU.
constexpr std::uint32_t kMaxPartBytes = 1100;
/// \brief Maximum number of parts sent for one request.
constexpr std::uint32_t kPartsPerRequest = 16;
/// \brief Number of adopted versions kept as bases of deltas.
constexpr std::size_t kHistoryLength = 8;
/// \brief Number of instances per zone that watch the platform.
constexpr std::size_t kWatchersPerZone = 2;
/// \brief Time without contact with the platform after which any instance
/// watches it.
constexpr MilliDuration kPlatformContactTimeout{ 60000 };

}

ConfigurationController::ConfigurationController(Blackboard& board)
  : board(board)
{
}

AdoptOutcome
ConfigurationController::onDocument(std::string_view text, MilliTime now)
{
  ParsedConfiguration parsed = parseConfiguration(text);
  if (!parsed.fatalProblems.empty()) {
    ++this->board.counters.configurationsRefused;
    this->reportProblems(parsed.fatalProblems, true);
    return AdoptOutcome::refused;
  }
  if (parsed.configuration.revision <= this->board.view.revision) {
    return AdoptOutcome::alreadyKnown;
  }
  this->adopt(std::move(parsed), text, now);
  return AdoptOutcome::adopted;
}

void
ConfigurationController::adopt(ParsedConfiguration parsed,
                               std::string_view text,
                               MilliTime now)
{
  this->problems.clear();
  this->reportProblems(parsed.selectorProblems, false);
  updateServices(this->board, parsed.configuration, now);
  this->configuration = std::move(parsed.configuration);
  ViewState& view = this->board.view;
  const bool first = view.revision == 0;
  const bool skipsRevisions = this->configuration.revision != view.revision + 1;
  if (skipsRevisions) {
    // Owners may have placed flows under the skipped revisions, so their bucket
    // states are needed again.
    for (Member& member : this->board.members) {
      member.statesApplied = kNoStatesVersion;
    }
  }
  view.revision = this->configuration.revision;
  view.hashSeed = this->configuration.hashSeed;
  view.adoptedAt = now;
  view.commitPending = !first;
  view.newestPeerRevision = std::max(view.newestPeerRevision, view.revision);
  this->board.self().revision = view.revision;
  ++this->board.counters.configurationsApplied;
  this->history.push_back({ view.revision, std::string(text) });
  if (this->history.size() > internal::kHistoryLength) {
    this->history.pop_front();
  }
  Event event;
  event.kind = EventKind::configuration;
  event.count = view.revision;
  this->board.log(std::move(event));
}

void
ConfigurationController::reportProblems(const Problems& found, bool fatal)
{
  if (found.empty()) {
    return;
  }
  this->problems = found;
  for (const Problem& problem : found) {
    Event event;
    event.kind = EventKind::configurationProblem;
    event.note = (fatal ? "document refused: "
                        : "invalid selector, last valid one kept: ") +
                 problem.path + ": " + problem.expected;
    this->board.log(std::move(event));
  }
}

void
ConfigurationController::onPlatformContact(MilliTime now)
{
  this->board.view.lastPlatformContactAt = now;
}

const ConfigurationController::Version*
ConfigurationController::findVersion(std::uint64_t revision) const
{
  for (const Version& version : this->history) {
    if (version.revision == revision) {
      return &version;
    }
  }
  return nullptr;
}

void
ConfigurationController::onRequest(MemberIndex from,
                                   const ConfigurationRequest& request,
                                   MilliTime /*now*/)
{
  if (this->history.empty() || request.have >= this->board.view.revision) {
    return;
  }
  const Version& newest = this->history.back();
  const Version* base = this->findVersion(request.have);
  std::optional<std::string> delta;
  if (base != nullptr) {
    delta = computeDelta(base->text, newest.text);
  }
  const std::string& text = delta ? *delta : newest.text;
  ConfigurationPart part;
  part.base = delta ? request.have : 0;
  part.revision = newest.revision;
  part.total = static_cast<std::uint32_t>(text.size());
  part.offset = request.want == newest.revision ? request.offset : 0;
  for (std::uint32_t i = 0; i < internal::kPartsPerRequest; ++i) {
    if (part.offset >= part.total) {
      return;
    }
    part.text = text.substr(part.offset, internal::kMaxPartBytes);
    this->board.send(from, part);
    part.offset += internal::kMaxPartBytes;
  }
}

std::uint32_t
ConfigurationController::receivedBytes() const
{
  std::uint32_t end = 0;
  for (const auto& [offset, text] : this->transfer.parts) {
    if (offset > end) {
      break;
    }
    end = std::max(end, offset + static_cast<std::uint32_t>(text.size()));
  }
  return end;
}

void
ConfigurationController::onPart(MemberIndex from,
                                const ConfigurationPart& part,
                                MilliTime now)
{
  const bool acceptable =
    part.revision > this->board.view.revision &&
    (part.base == 0 || part.base == this->board.view.revision) &&
    part.total <= kMaxDocumentBytes && part.offset < part.total;
  if (!acceptable) {
    return;
  }
  Transfer& transfer = this->transfer;
  const bool continuesTransfer = transfer.revision == part.revision &&
                                 transfer.base == part.base &&
                                 transfer.total == part.total;
  if (!continuesTransfer) {
    transfer = Transfer{ part.base, part.revision, part.total, {} };
  }
  transfer.parts[part.offset] = part.text;
  const std::uint32_t received = this->receivedBytes();
  if (received >= transfer.total) {
    this->finishTransfer(now);
    return;
  }
  const std::uint32_t window =
    internal::kMaxPartBytes * internal::kPartsPerRequest;
  if (received % window == 0) {
    this->lastRequestAt = now;
    this->board.send(from,
                     ConfigurationRequest{ this->board.view.revision,
                                           transfer.revision,
                                           received });
  }
}

void
ConfigurationController::finishTransfer(MilliTime now)
{
  std::string text;
  for (const auto& [offset, part] : this->transfer.parts) {
    text.resize(std::max<std::size_t>(text.size(), offset));
    text.replace(offset, part.size(), part);
  }
  const std::uint64_t base = this->transfer.base;
  this->transfer = Transfer{};
  if (base != 0) {
    const Version* version = this->findVersion(base);
    const auto whole =
      version == nullptr ? std::nullopt : applyDelta(version->text, text);
    if (!whole) {
      return;
    }
    text = *whole;
  }
  this->onDocument(text, now);
}

void
ConfigurationController::tick(MilliTime now)
{
  this->checkCommit(now);
  this->requestNewerRevision(now);
}

void
ConfigurationController::checkCommit(MilliTime now)
{
  ViewState& view = this->board.view;
  if (!view.commitPending) {
    return;
  }
  const bool allUpToDate = std::all_of(
    this->board.members.begin(),
    this->board.members.end(),
    [&](const Member& member) {
      return !member.reachable() || member.revision >= view.revision;
    });
  if (!allUpToDate && now - view.adoptedAt < internal::kCommitTimeout) {
    return;
  }
  view.commitPending = false;
  commitServices(this->board);
  Event event;
  event.kind = EventKind::committed;
  event.count = view.revision;
  event.note = allUpToDate ? "all reachable instances" : "time limit";
  this->board.log(std::move(event));
}

void
ConfigurationController::requestNewerRevision(MilliTime now)
{
  const ViewState& view = this->board.view;
  if (this->lastRequestAt.ms >= 0 &&
      now - this->lastRequestAt < internal::kRequestRetryPeriod) {
    return;
  }
  MemberIndex chosen = kNoMember;
  std::size_t candidateCount = 0;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (!member.reachable() || member.revision <= view.revision) {
      continue;
    }
    // Chooses one at random, so that the requests after a change are spread
    // over all instances that have it.
    ++candidateCount;
    if (chosen == kNoMember || this->board.random.below(candidateCount) == 0) {
      chosen = i;
    }
  }
  if (chosen == kNoMember) {
    return;
  }
  this->lastRequestAt = now;
  const std::uint64_t want = this->transfer.revision;
  const std::uint32_t offset = want == 0 ? 0 : this->receivedBytes();
  this->board.send(chosen, ConfigurationRequest{ view.revision, want, offset });
}

bool
ConfigurationController::shouldWatchPlatform(MilliTime now) const
{
  const Member& self = this->board.self();
  const MilliTime contact = this->board.view.lastPlatformContactAt;
  if (this->board.view.revision == 0 || contact.ms < 0 ||
      now - contact >= internal::kPlatformContactTimeout) {
    return true;
  }
  const std::uint64_t own = hashText(self.id, 4);
  std::size_t before = 0;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (member.owner() && member.zone == self.zone &&
        hashText(member.id, 4) < own) {
      ++before;
    }
  }
  return before < internal::kWatchersPerZone;
}

}
