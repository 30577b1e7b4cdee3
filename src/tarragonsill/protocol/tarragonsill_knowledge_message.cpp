#include "tarragonsill/protocol/tarragonsill_knowledge_message.hpp"

#include <algorithm>
#include <limits>
#include <span>

namespace tarragonsill {

namespace {

void
Write(RoutingConfiguration const& aConfiguration,
      wire::KnownConfiguration& aMessage)
{
  aMessage.set_version(aConfiguration.mVersion);
  aMessage.set_idle_timeout_ms(
    static_cast<std::uint32_t>(aConfiguration.mIdleTimeout.count()));
  for (auto const& route : aConfiguration.mRoutes) {
    auto& known = *aMessage.add_routes();
    known.set_name(route.mName);
    known.set_address(route.mAddress.mAddress.mValue);
    known.set_port(route.mAddress.mPort);
    known.set_idempotent(route.mKind == RequestKind::Idempotent);
    known.set_latency_target_ms(
      static_cast<std::uint32_t>(route.mLatencyTarget.count()));
    known.set_priority(route.mPriority);
    for (auto const& share : route.mShares) {
      auto& knownShare = *known.add_shares();
      knownShare.set_service(share.mService);
      knownShare.set_weight(share.mWeight);
    }
  }
  for (auto const& rule : aConfiguration.mServices) {
    auto& known = *aMessage.add_services();
    known.set_name(rule.mName);
    known.set_cold_time_ms(static_cast<std::uint32_t>(rule.mColdTime.count()));
    known.set_cold_flows_per_second(rule.mColdFlowsPerSecond);
  }
}

RoutingConfiguration
Read(wire::KnownConfiguration const& aMessage)
{
  RoutingConfiguration configuration;
  configuration.mVersion = aMessage.version();
  configuration.mIdleTimeout = milliseconds{ aMessage.idle_timeout_ms() };
  for (auto const& known : aMessage.routes()) {
    ServiceRoute route;
    route.mName = known.name();
    route.mAddress = { { known.address() },
                       static_cast<std::uint16_t>(known.port()) };
    route.mKind =
      known.idempotent() ? RequestKind::Idempotent : RequestKind::NotIdempotent;
    route.mLatencyTarget = milliseconds{ known.latency_target_ms() };
    route.mPriority = known.priority();
    for (auto const& knownShare : known.shares()) {
      route.mShares.push_back({ knownShare.service(), knownShare.weight() });
    }
    configuration.mRoutes.push_back(std::move(route));
  }
  for (auto const& known : aMessage.services()) {
    configuration.mServices.push_back({ known.name(),
                                        milliseconds{ known.cold_time_ms() },
                                        known.cold_flows_per_second() });
  }
  return configuration;
}

void
Write(UpstreamRegistration const& aRegistration, wire::KnownUpstream& aMessage)
{
  aMessage.set_identity(aRegistration.mIdentity);
  aMessage.set_address(aRegistration.mAddress.mAddress.mValue);
  aMessage.set_port(aRegistration.mAddress.mPort);
  aMessage.set_service(aRegistration.mService);
  aMessage.set_zone(aRegistration.mZone);
  aMessage.set_slots(aRegistration.mSlots);
  aMessage.set_draining(aRegistration.mDraining);
  aMessage.set_cold_left_ms(
    static_cast<std::uint32_t>(aRegistration.mRemainingColdTime.count()));
  aMessage.set_start_mark(aRegistration.mStartMark);
}

UpstreamRegistration
Read(wire::KnownUpstream const& aMessage)
{
  UpstreamRegistration registration;
  registration.mName = aMessage.name();
  registration.mIdentity = aMessage.identity();
  registration.mAddress = { { aMessage.address() },
                            static_cast<std::uint16_t>(aMessage.port()) };
  registration.mService = aMessage.service();
  registration.mZone = aMessage.zone();
  registration.mSlots = std::max(1U, aMessage.slots());
  registration.mDraining = aMessage.draining();
  registration.mRemainingColdTime = milliseconds{ aMessage.cold_left_ms() };
  registration.mStartMark = aMessage.start_mark();
  return registration;
}

/// With about 90 bytes per object and the other fields of the message, a
/// datagram stays below the usual MTU.
constexpr std::size_t kObjectsPerUpdate = 10;

void
AddRemoval(ObjectChange const& aChange, wire::KnownRemoval& aRemoval)
{
  aRemoval.set_name(aChange.mName);
  aRemoval.set_revision(aChange.mPosition.mRevision);
}

void
AddChange(ObjectKind aKind,
          ObjectChange const& aChange,
          wire::KnowledgeUpdate& aUpdate)
{
  auto const* registration =
    std::get_if<UpstreamRegistration>(&aChange.mContent);
  bool const isUpstream = aKind == ObjectKind::Upstreams;
  // An upstream whose registration cannot be used is relayed as removed.
  bool const isRemoval =
    aChange.mRemoved || (isUpstream && registration == nullptr);
  if (isRemoval) {
    AddRemoval(aChange,
               isUpstream ? *aUpdate.add_removed_upstreams()
                          : *aUpdate.add_removed_evacuations());
    return;
  }
  if (isUpstream) {
    auto& known = *aUpdate.add_upstreams();
    known.set_name(aChange.mName);
    known.set_revision(aChange.mPosition.mRevision);
    Write(*registration, known);
    return;
  }
  auto& known = *aUpdate.add_evacuations();
  known.set_zone(aChange.mName);
  known.set_revision(aChange.mPosition.mRevision);
}

} // namespace

std::vector<wire::KnowledgeUpdate>
ToUpdates(ObjectKind aKind,
          std::vector<ObjectChange> const& aChanges,
          PositionRange aRange)
{
  std::vector<wire::KnowledgeUpdate> updates;
  if (aKind == ObjectKind::Configuration) {
    return updates;
  }
  auto after = aRange.mAfter;
  for (std::size_t first = 0; first < aChanges.size();
       first += kObjectsPerUpdate) {
    auto const rest = std::span(aChanges).subspan(first);
    auto const part = rest.first(std::min(kObjectsPerUpdate, rest.size()));
    auto& update = updates.emplace_back();
    auto upTo = after;
    for (auto const& change : part) {
      AddChange(aKind, change, update);
      upTo = std::max(upTo, change.mPosition);
    }
    // A removal may have the revision of the object's previous change. If all
    // changes are such removals, a step of one still shows the update's loss.
    if (upTo == after) {
      upTo = std::min(aRange.mUpTo, { after.mEra, after.mRevision + 1 });
    }
    bool const isLast = part.size() == rest.size();
    upTo = isLast ? std::max(upTo, aRange.mUpTo) : upTo;
    update.set_store_era(after.mEra);
    update.set_after_revision(after.mRevision);
    update.set_up_to_revision(upTo.mRevision);
    after = upTo;
  }
  return updates;
}

PositionRange
RangeOf(wire::KnowledgeUpdate const& aUpdate)
{
  auto const era = aUpdate.store_era();
  return { { era, aUpdate.after_revision() },
           { era, aUpdate.up_to_revision() } };
}

std::vector<ObjectChange>
ChangesOf(ObjectKind aKind, wire::KnowledgeUpdate const& aUpdate)
{
  auto const positionOf = [&](std::uint64_t aRevision) {
    return StorePosition{ aUpdate.store_era(), aRevision };
  };
  std::vector<ObjectChange> changes;
  bool const isUpstreams = aKind == ObjectKind::Upstreams;
  if (isUpstreams) {
    for (auto const& known : aUpdate.upstreams()) {
      changes.push_back(
        { known.name(), positionOf(known.revision()), false, Read(known) });
    }
  } else if (aKind == ObjectKind::Evacuations) {
    for (auto const& known : aUpdate.evacuations()) {
      changes.push_back({ known.zone(),
                          positionOf(known.revision()),
                          false,
                          EvacuationRecord{} });
    }
  } else {
    return changes;
  }
  auto const& removals =
    isUpstreams ? aUpdate.removed_upstreams() : aUpdate.removed_evacuations();
  for (auto const& removal : removals) {
    changes.push_back({ removal.name(),
                        positionOf(removal.revision()),
                        true,
                        InvalidRecord{} });
  }
  return changes;
}

wire::KnowledgeRequest
ToMessage(KnowledgeDigest const& aDigest)
{
  wire::KnowledgeRequest request;
  request.set_configuration_version(aDigest.mConfiguration);
  request.set_upstreams_revision(aDigest.mUpstreams.mRevision);
  request.set_upstreams_era(aDigest.mUpstreams.mEra);
  request.set_evacuations_revision(aDigest.mEvacuations.mRevision);
  request.set_evacuations_era(aDigest.mEvacuations.mEra);
  return request;
}

KnowledgeDigest
FromMessage(wire::KnowledgeRequest const& aRequest)
{
  return { aRequest.configuration_version(),
           { aRequest.upstreams_era(), aRequest.upstreams_revision() },
           { aRequest.evacuations_era(), aRequest.evacuations_revision() } };
}

namespace {

void
Write(ObjectPage const& aUpstreams, wire::KnowledgeReply& aReply)
{
  aReply.set_upstreams_revision(aUpstreams.mPosition.mRevision);
  aReply.set_upstreams_era(aUpstreams.mPosition.mEra);
  for (auto const& change : aUpstreams.mChanges) {
    auto const* registration =
      std::get_if<UpstreamRegistration>(&change.mContent);
    if (change.mRemoved || registration == nullptr) {
      AddRemoval(change, *aReply.add_removed_upstreams());
      continue;
    }
    auto& known = *aReply.add_upstreams();
    known.set_name(change.mName);
    known.set_revision(change.mPosition.mRevision);
    known.set_doubted_ms(
      static_cast<std::uint32_t>(change.mUnconfirmedFor.count()));
    Write(*registration, known);
  }
}

void
ReadUpstreams(wire::KnowledgeReply const& aReply, KnowledgeLists& aLists)
{
  auto const era = aReply.upstreams_era();
  aLists.mUpstreams.mPosition = { era, aReply.upstreams_revision() };
  aLists.mUpstreamsAfter = { era, aReply.upstreams_after() };
  auto& changes = aLists.mUpstreams.mChanges;
  for (auto const& known : aReply.upstreams()) {
    changes.push_back({ known.name(),
                        { era, known.revision() },
                        false,
                        Read(known),
                        milliseconds{ known.doubted_ms() } });
  }
  for (auto const& removal : aReply.removed_upstreams()) {
    changes.push_back(
      { removal.name(), { era, removal.revision() }, true, InvalidRecord{} });
  }
}

} // namespace

wire::KnowledgeReply
ToMessage(KnowledgeLists const& aLists)
{
  wire::KnowledgeReply reply;
  for (auto const& change : aLists.mConfiguration.mChanges) {
    if (auto const* known =
          std::get_if<RoutingConfiguration>(&change.mContent)) {
      Write(*known, *reply.mutable_configuration());
      reply.mutable_configuration()->set_revision(change.mPosition.mRevision);
      reply.set_configuration_era(change.mPosition.mEra);
    }
  }
  Write(aLists.mUpstreams, reply);
  reply.set_upstreams_after(aLists.mUpstreamsAfter.mRevision);
  reply.set_evacuations_revision(aLists.mEvacuations.mPosition.mRevision);
  reply.set_evacuations_era(aLists.mEvacuations.mPosition.mEra);
  for (auto const& change : aLists.mEvacuations.mChanges) {
    auto& known = *reply.add_evacuations();
    known.set_zone(change.mName);
    known.set_revision(change.mPosition.mRevision);
    known.set_doubted_ms(
      static_cast<std::uint32_t>(change.mUnconfirmedFor.count()));
  }
  for (auto const& returned : aLists.mReturns.mZones) {
    auto& known = *reply.add_returned_zones();
    known.set_zone(returned.mZone);
    known.set_age_ms(static_cast<std::uint32_t>(returned.mAge.count()));
  }
  auto const knownFor =
    std::min<milliseconds::rep>(aLists.mReturns.mKnownFor.count(),
                                std::numeric_limits<std::uint32_t>::max());
  reply.set_returns_known_ms(static_cast<std::uint32_t>(knownFor));
  return reply;
}

KnowledgeLists
FromMessage(wire::KnowledgeReply const& aReply)
{
  KnowledgeLists lists;
  if (aReply.has_configuration()) {
    auto const& known = aReply.configuration();
    lists.mConfiguration.mPosition = { aReply.configuration_era(),
                                       known.revision() };
    lists.mConfiguration.mChanges.push_back(
      { "configuration", lists.mConfiguration.mPosition, false, Read(known) });
  }
  ReadUpstreams(aReply, lists);
  auto const era = aReply.evacuations_era();
  lists.mEvacuations.mPosition = { era, aReply.evacuations_revision() };
  for (auto const& known : aReply.evacuations()) {
    lists.mEvacuations.mChanges.push_back(
      { known.zone(),
        { era, known.revision() },
        false,
        EvacuationRecord{},
        milliseconds{ known.doubted_ms() } });
  }
  for (auto const& known : aReply.returned_zones()) {
    lists.mReturns.mZones.push_back(
      { known.zone(), milliseconds{ known.age_ms() } });
  }
  lists.mReturns.mKnownFor = milliseconds{ aReply.returns_known_ms() };
  return lists;
}

} // namespace tarragonsill
