#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

/// Bounds how often a packet may pass between entry VMs.
constexpr std::uint8_t kMaxHops = 16;
/// After this many hops a home decides even if its view names another home.
constexpr std::uint8_t kHomeForwardHops = 2;
/// How many homes hold each exception.
constexpr std::size_t kRecorders = 2;
/// How often a flow in use is reported to its owner and its second home.
constexpr seconds kRefreshInterval{ 30 };
/// A record at the second home is marked by this step.
constexpr std::uint8_t kSecondHome = 1;
/// A record that answers a lookup goes to the asking home only.
constexpr std::uint8_t kLookupAnswer = 2;
/// Bounds the queue of decisions that wait for the log.
constexpr std::size_t kMaxQueuedDecisions = 8192;

std::vector<std::string>
RecorderNames(SteeringSnapshot const& aSnapshot, BaseView const& aBase)
{
  std::vector<std::string> names;
  for (auto const entry : aBase.mChain) {
    if (names.size() == kRecorders) {
      break;
    }
    names.push_back(aSnapshot.mEntries[entry].mName);
  }
  return names;
}

bool
Holds(std::vector<std::string> const& aNames, std::string const& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

PacketEngine::PacketEngine(Options aOptions, Counters& aCounters)
  : mOptions(aOptions)
  , mCounters(aCounters)
  , mAnswers(aOptions.mAnswerCachePlaces)
{
}

void
PacketEngine::ApplySnapshot(std::shared_ptr<SteeringSnapshot const> aSnapshot)
{
  std::vector<ExceptionTable> exceptions(aSnapshot->mServices.size());
  for (std::size_t index = 0; mSnapshot && index < mExceptions.size();
       ++index) {
    auto const address = mSnapshot->mServices[index].mService.mAddress;
    auto const found = aSnapshot->mServiceByAddress.find(address);
    if (found == aSnapshot->mServiceByAddress.end()) {
      continue;
    }
    exceptions[found->second] = std::move(mExceptions[index]);
    QueueTransfers(*mSnapshot, *aSnapshot, index, exceptions[found->second]);
  }
  mExceptions = std::move(exceptions);
  for (auto& [address, ledger] : mLedgers) {
    auto const found = aSnapshot->mUpstreamByAddress.find(address);
    if (found == aSnapshot->mUpstreamByAddress.end()) {
      continue;
    }
    ledger.Configure(aSnapshot->mUpstreams[found->second].mUpstream);
  }
  mSnapshot = std::move(aSnapshot);
}

void
PacketEngine::QueueTransfers(SteeringSnapshot const& aOld,
                             SteeringSnapshot const& aNew,
                             std::size_t aService,
                             ExceptionTable& aTable)
{
  auto const& oldService = aOld.mServices[aService];
  auto const address = oldService.mService.mAddress;
  auto const& newService =
    aNew.mServices[aNew.mServiceByAddress.find(address)->second];
  if (oldService.mTable.Empty() || newService.mTable.Empty()) {
    return;
  }
  std::string const self =
    aOld.mSelf ? aOld.mEntries[*aOld.mSelf].mName : std::string();
  std::vector<std::vector<std::string>> targets;
  for (std::size_t share = 0; share < newService.mBase.size(); ++share) {
    auto const before = RecorderNames(aOld, oldService.mBase[share]);
    std::vector<std::string> added;
    for (auto& name : RecorderNames(aNew, newService.mBase[share])) {
      if (Holds(before, name) || name == self) {
        continue;
      }
      added.push_back(name);
    }
    targets.push_back(std::move(added));
  }
  aTable.ForEach([&](ExceptionEntry& aEntry) {
    for (auto const& peer : targets[newService.mTable.Pick(aEntry.mKey)]) {
      mTransfers.push_back({ peer, address, aEntry.mKey, aEntry.Upstream() });
    }
  });
}

void
PacketEngine::ApplyRights(TimePoint aNow,
                          std::shared_ptr<AdmissionRights const> aRights)
{
  mRights = std::move(aRights);
  if (!mSnapshot) {
    return;
  }
  for (auto const& right : *mRights) {
    auto const found = mSnapshot->mUpstreamByAddress.find(right.mUpstream);
    if (found == mSnapshot->mUpstreamByAddress.end()) {
      continue;
    }
    auto& term = mTerms[right.mUpstream];
    if (term == right.mTerm) {
      continue;
    }
    term = right.mTerm;
    auto const& upstream = mSnapshot->mUpstreams[found->second].mUpstream;
    auto const [ledger, added] =
      mLedgers.try_emplace(right.mUpstream, upstream);
    ledger->second.Adopt(aNow, right.mAdopted.mConnections);
  }
}

void
PacketEngine::StoreException(TimePoint aNow,
                             ExceptionTransfer const& aException)
{
  if (!mSnapshot) {
    return;
  }
  auto const found = mSnapshot->mServiceByAddress.find(aException.mService);
  if (found == mSnapshot->mServiceByAddress.end()) {
    return;
  }
  auto& table = mExceptions[found->second];
  if (table.Find(aException.mFlow) != nullptr) {
    return; // What this home recorded itself is at least as recent.
  }
  auto& entry = table.FindOrInsert(aException.mFlow);
  entry.mAddress = aException.mUpstream.mAddress.mValue;
  entry.mPort = aException.mUpstream.mPort;
  entry.mSeen = CoarseTime(aNow);
  mCounters.Add(Counter::ExceptionsRecorded);
}

std::optional<PacketEngine::Flow>
PacketEngine::MakeFlow(PacketView& aPacket) const
{
  auto const service = mSnapshot->mServiceByAddress.find(aPacket.Destination());
  if (service == mSnapshot->mServiceByAddress.end()) {
    return std::nullopt;
  }
  FlowKey const key{ aPacket.Source(),
                     aPacket.Destination(),
                     aPacket.Protocol() };
  Flow flow{ aPacket, key, key.Hash(), service->second, 0, false };
  auto const& view = mSnapshot->mServices[flow.mService];
  if (view.mTable.Empty()) {
    return std::nullopt;
  }
  flow.mShare = view.mTable.Pick(flow.mHash);
  flow.mIsNew =
    aPacket.OpensFlow() || aPacket.Protocol() == TransportProtocol::Udp;
  return flow;
}

BaseView const&
PacketEngine::BaseOf(Flow const& aFlow) const
{
  return mSnapshot->mServices[aFlow.mService].mBase[aFlow.mShare];
}

std::optional<std::size_t>
PacketEngine::PositionInChain(BaseView const& aBase) const
{
  for (std::size_t index = 0; index < aBase.mChain.size(); ++index) {
    if (mSnapshot->IsSelf(aBase.mChain[index])) {
      return index;
    }
  }
  return std::nullopt;
}

PacketAction
PacketEngine::HandleFabric(TimePoint aNow, PacketView& aPacket)
{
  if (!mSnapshot) {
    return Drop(Counter::DropNoConfiguration);
  }
  if (auto flow = MakeFlow(aPacket)) {
    return HandleCaller(aNow, *flow);
  }
  return HandleAnswer(aNow, aPacket, false);
}

PacketAction
PacketEngine::HandlePeer(TimePoint aNow,
                         Route const& aRoute,
                         PacketView& aPacket)
{
  if (!mSnapshot) {
    return Drop(Counter::DropNoConfiguration);
  }
  if (aRoute.mHops >= kMaxHops) {
    return Drop(Counter::DropHopLimit);
  }
  if (aRoute.mKind == RouteKind::Answer) {
    return HandleAnswer(aNow, aPacket, true);
  }
  auto flow = MakeFlow(aPacket);
  if (!flow) {
    return Drop(Counter::DropUnknownService);
  }
  switch (aRoute.mKind) {
    case RouteKind::Lookup:
      return ResumeLookup(aNow, *flow, aRoute);
    case RouteKind::Admit:
      return AdmitFrom(aNow, *flow, aRoute);
    case RouteKind::Record:
      return HandleRecord(aNow, *flow, aRoute);
    case RouteKind::Touch:
      return HandleTouch(aNow, *flow, aRoute);
    default:
      return DecideAtHome(aNow, *flow, aRoute.mHops);
  }
}

PacketAction
PacketEngine::HandleAnswer(TimePoint aNow, PacketView& aPacket, bool aAtOwner)
{
  auto const upstream = aPacket.Source();
  std::optional<std::size_t> service;
  std::optional<EntryIndex> owner;
  auto const found = mSnapshot->mUpstreamByAddress.find(upstream);
  if (found != mSnapshot->mUpstreamByAddress.end()) {
    auto const& view = mSnapshot->mUpstreams[found->second];
    if (!view.mZoneIn) {
      return Drop(Counter::DropZoneOut);
    }
    service = view.mService;
    owner = view.mOwner;
  } else if (auto const retired = mSnapshot->mRetired.find(upstream);
             retired != mSnapshot->mRetired.end()) {
    service = retired->second;
  }
  if (!service) {
    return Drop(Counter::DropUnknownService);
  }
  auto const address = mSnapshot->mServices[*service].mService.mAddress;
  FlowKey const key{ aPacket.Destination(), address, aPacket.Protocol() };
  auto const hash = key.Hash();
  constexpr std::uint8_t kOwnerFlags =
    TcpFlags::kSyn | TcpFlags::kFin | TcpFlags::kRst;
  bool const concernsOwner = (aPacket.Flags() & kOwnerFlags) != 0;
  bool const elsewhere = owner && !mSnapshot->IsSelf(*owner);
  if (concernsOwner && !aAtOwner && elsewhere) {
    mAnswers.Forget(hash);
    Route route;
    route.mKind = RouteKind::Answer;
    return ToEntry(*owner, route);
  }
  if (auto* ledger = LedgerOf(upstream); ledger && concernsOwner) {
    auto const verdict = ledger->NoteAnswer(aNow, hash, aPacket.Flags());
    if (verdict == AnswerVerdict::HoldBack) {
      return Drop(Counter::ResetsHeldBack);
    }
  }
  if (aPacket.EndsFlow()) {
    mAnswers.Forget(hash);
  } else {
    mAnswers.Learn(aNow, hash, upstream);
    mCounters.Add(Counter::AnswersLearned);
  }
  aPacket.RewriteSource(address);
  mCounters.Add(Counter::PacketsToCaller);
  return { ActionKind::ToFabric, {}, {}, {} };
}

PacketAction
PacketEngine::HandleCaller(TimePoint aNow, Flow& aFlow)
{
  bool const plain = !aFlow.mPacket.OpensFlow() && !aFlow.mPacket.EndsFlow();
  if (plain) {
    if (auto const upstream = mAnswers.Find(aNow, aFlow.mHash)) {
      mCounters.Add(Counter::CacheHits);
      return Deliver(aFlow, *upstream);
    }
  } else {
    mAnswers.Forget(aFlow.mHash);
  }
  return DecideAtHome(aNow, aFlow, 0);
}

PacketAction
PacketEngine::DecideAtHome(TimePoint aNow, Flow& aFlow, std::uint8_t aHops)
{
  auto const& base = BaseOf(aFlow);
  if (base.mChain.empty()) {
    return Drop(Counter::DropNoHome);
  }
  if (!mSnapshot->IsSelf(base.mChain.front()) && aHops < kHomeForwardHops) {
    Route route;
    route.mHops = aHops;
    return ToEntry(base.mChain.front(), route);
  }
  auto* const exception = mExceptions[aFlow.mService].Find(aFlow.mHash);
  if (exception != nullptr && !aFlow.mPacket.OpensFlow()) {
    return DeliverException(aNow, aFlow, *exception, aHops);
  }
  auto* const ledger = LedgerOf(base.mAddress);
  if (ledger != nullptr && !aFlow.mPacket.OpensFlow() &&
      ledger->NoteCaller(aNow, aFlow.mHash, aFlow.mPacket.Flags())) {
    return Deliver(aFlow, base.mAddress);
  }
  Route route;
  route.mHops = aHops;
  route.mHome = SelfData();
  if (aFlow.mIsNew) {
    if (exception != nullptr) {
      // A repeated first packet goes where the first one went.
      route.mUpstream = exception->Upstream();
    }
    return AdmitFrom(aNow, aFlow, route);
  }
  return PassLookup(aNow, aFlow, route);
}

PacketAction
PacketEngine::DeliverException(TimePoint aNow,
                               Flow& aFlow,
                               ExceptionEntry& aEntry,
                               std::uint8_t aHops)
{
  bool const refresh = aEntry.mSeen.AgeAt(aNow) > kRefreshInterval;
  if (!refresh && !aFlow.mPacket.EndsFlow()) {
    return Deliver(aFlow, aEntry.Upstream());
  }
  aEntry.mSeen = CoarseTime(aNow);
  Route route;
  route.mHops = aHops;
  route.mUpstream = aEntry.Upstream();
  auto const& chain = BaseOf(aFlow).mChain;
  bool const second =
    chain.size() > 1 && !mSnapshot->IsSelf(chain[1]) && IsNeighbour(chain[1]);
  if (refresh && second) {
    route.mKind = RouteKind::Record;
    route.mStep = kSecondHome;
    return ToEntry(chain[1], route);
  }
  return HandleTouch(aNow, aFlow, route);
}

PacketAction
PacketEngine::PassLookup(TimePoint aNow, Flow& aFlow, Route aRoute)
{
  auto const& base = BaseOf(aFlow);
  auto const position = PositionInChain(base);
  auto const next = position ? *position + 1 : std::size_t{ aRoute.mStep } + 1;
  if (next < base.mChain.size()) {
    aRoute.mKind = RouteKind::Lookup;
    aRoute.mStep = static_cast<std::uint8_t>(next);
    return ToEntry(base.mChain[next], aRoute);
  }
  // Nobody holds an exception: the flow followed the pure choice, unless the
  // owner of that choice knows every flow of its upstream.
  bool const atHome = aRoute.mHome == SelfData();
  if (!atHome) {
    aRoute.mKind = RouteKind::Record;
    aRoute.mStep = kLookupAnswer;
    aRoute.mUpstream = {};
    return { ActionKind::ToPeer, {}, aRoute.mHome, aRoute };
  }
  return HandleRecord(
    aNow, aFlow, { RouteKind::Record, 0, kLookupAnswer, {}, {} });
}

PacketAction
PacketEngine::ResumeLookup(TimePoint aNow, Flow& aFlow, Route const& aRoute)
{
  auto const& base = BaseOf(aFlow);
  auto* const exception = mExceptions[aFlow.mService].Find(aFlow.mHash);
  auto* const ledger = LedgerOf(base.mAddress);
  std::optional<Endpoint> known;
  if (exception != nullptr) {
    known = exception->Upstream();
  } else if (ledger != nullptr && ledger->Contains(aFlow.mHash)) {
    known = base.mAddress;
  }
  if (!known) {
    return PassLookup(aNow, aFlow, aRoute);
  }
  Note(DecisionKind::FlowFound, aFlow, *known);
  if (aRoute.mHome == SelfData()) {
    return Deliver(aFlow, *known);
  }
  Route route = aRoute;
  route.mKind = RouteKind::Record;
  route.mStep = kLookupAnswer;
  route.mUpstream = *known;
  return { ActionKind::ToPeer, {}, aRoute.mHome, route };
}

PacketAction
PacketEngine::AdmitFrom(TimePoint aNow, Flow& aFlow, Route aRoute)
{
  auto candidates = mSnapshot->Candidates(aFlow.mService, aFlow.mHash);
  auto const preferred = mSnapshot->mUpstreamByAddress.find(aRoute.mUpstream);
  if (aRoute.mStep == 0 && preferred != mSnapshot->mUpstreamByAddress.end() &&
      mSnapshot->mUpstreams[preferred->second].mService == aFlow.mService) {
    candidates.insert(candidates.begin(), preferred->second);
  }
  for (std::size_t step = aRoute.mStep; step < candidates.size(); ++step) {
    auto const& view = mSnapshot->mUpstreams[candidates[step]];
    if (!view.mOwner || !view.mZoneIn) {
      continue;
    }
    if (!mSnapshot->IsSelf(*view.mOwner)) {
      aRoute.mKind = RouteKind::Admit;
      aRoute.mStep = static_cast<std::uint8_t>(step);
      aRoute.mUpstream = step == 0 ? aRoute.mUpstream : Endpoint{};
      return ToEntry(*view.mOwner, aRoute);
    }
    bool repeated = false;
    if (TryAdmit(aNow, aFlow, candidates[step], repeated)) {
      return FinishAdmission(aNow, aFlow, aRoute, candidates[step], repeated);
    }
  }
  Note(DecisionKind::NoCapacity, aFlow, {});
  return Drop(Counter::DropNoCapacity);
}

bool
PacketEngine::TryAdmit(TimePoint aNow,
                       Flow const& aFlow,
                       std::size_t aUpstream,
                       bool& aRepeated)
{
  auto const& view = mSnapshot->mUpstreams[aUpstream];
  auto const address = view.mUpstream.mAddress;
  auto const* const right = RightOf(address);
  auto* const ledger = LedgerOf(address);
  if (ledger != nullptr && ledger->Contains(aFlow.mHash)) {
    aRepeated = true;
    ledger->Admit(aNow, aFlow.mHash, 0);
    return true;
  }
  if (right == nullptr || ledger == nullptr || aNow >= right->mUntil) {
    mCounters.Add(Counter::FlowsRefusedNoLease);
    Note(DecisionKind::RefusedNoLease, aFlow, address);
    return false;
  }
  if (!view.TakesNewWork()) {
    return false;
  }
  switch (ledger->Admit(aNow, aFlow.mHash, right->mCeiling.mConnections)) {
    case Admission::Full:
      mCounters.Add(Counter::FlowsRefusedFull);
      Note(DecisionKind::RefusedFull, aFlow, address);
      return false;
    case Admission::Cold:
      mCounters.Add(Counter::FlowsRefusedCold);
      Note(DecisionKind::RefusedCold, aFlow, address);
      return false;
    case Admission::AlreadyKnown:
    case Admission::Admitted:
      return true;
  }
  return false;
}

PacketAction
PacketEngine::FinishAdmission(TimePoint aNow,
                              Flow& aFlow,
                              Route aRoute,
                              std::size_t aUpstream,
                              bool aRepeated)
{
  auto const address = mSnapshot->mUpstreams[aUpstream].mUpstream.mAddress;
  bool const atHome = aRoute.mHome == SelfData();
  bool const pure = address == BaseOf(aFlow).mAddress && atHome;
  if (!aRepeated) {
    mCounters.Add(Counter::FlowsAdmitted);
    Note(pure ? DecisionKind::AdmittedPureChoice
              : DecisionKind::AdmittedException,
         aFlow,
         address);
  }
  if (pure) {
    mExceptions[aFlow.mService].Erase(aFlow.mHash);
    return Deliver(aFlow, address);
  }
  if (!aRepeated) {
    mCounters.Add(Counter::FlowsDeviated);
  }
  aRoute.mKind = RouteKind::Record;
  aRoute.mStep = 0;
  aRoute.mUpstream = address;
  if (!atHome) {
    return { ActionKind::ToPeer, {}, aRoute.mHome, aRoute };
  }
  return HandleRecord(aNow, aFlow, aRoute);
}

PacketAction
PacketEngine::HandleRecord(TimePoint aNow, Flow& aFlow, Route aRoute)
{
  auto const& base = BaseOf(aFlow);
  if (aRoute.mStep == kLookupAnswer) {
    bool const found = aRoute.mUpstream.mPort != 0;
    auto const upstream = found ? aRoute.mUpstream : base.mAddress;
    if (!found) {
      auto* const ledger = LedgerOf(base.mAddress);
      bool const complete = ledger != nullptr && ledger->Complete();
      if (complete || !base.mZoneIn) {
        Note(DecisionKind::FlowUnknown, aFlow, {});
        return Drop(Counter::DropUnknownFlow);
      }
      mCounters.Add(Counter::FlowsGuessed);
      Note(DecisionKind::FlowGuessed, aFlow, upstream);
    }
    StoreRecord(aNow, aFlow, upstream);
    return Deliver(aFlow, upstream);
  }
  StoreRecord(aNow, aFlow, aRoute.mUpstream);
  auto const& chain = base.mChain;
  if (aRoute.mStep == 0 && chain.size() > 1 && !mSnapshot->IsSelf(chain[1])) {
    if (IsNeighbour(chain[1])) {
      aRoute.mStep = kSecondHome;
      return ToEntry(chain[1], aRoute);
    }
    // A flow must not wait for another zone, which may just be cut off.
    mTransfers.push_back({ mSnapshot->mEntries[chain[1]].mName,
                           aFlow.mKey.mService,
                           aFlow.mHash,
                           aRoute.mUpstream });
  }
  if (aFlow.mPacket.OpensFlow()) {
    return Deliver(aFlow, aRoute.mUpstream);
  }
  return HandleTouch(aNow, aFlow, aRoute);
}

void
PacketEngine::StoreRecord(TimePoint aNow, Flow const& aFlow, Endpoint aUpstream)
{
  if (aUpstream == BaseOf(aFlow).mAddress) {
    auto* const ledger = LedgerOf(aUpstream);
    if (ledger != nullptr &&
        (ledger->Contains(aFlow.mHash) || ledger->Claim(aNow, aFlow.mHash))) {
      mCounters.Add(Counter::FlowsClaimed);
      return;
    }
  }
  auto& entry = mExceptions[aFlow.mService].FindOrInsert(aFlow.mHash);
  entry.mAddress = aUpstream.mAddress.mValue;
  entry.mPort = aUpstream.mPort;
  entry.mSeen = CoarseTime(aNow);
  mCounters.Add(Counter::ExceptionsRecorded);
  Note(DecisionKind::ExceptionRecorded, aFlow, aUpstream);
}

PacketAction
PacketEngine::HandleTouch(TimePoint aNow, Flow& aFlow, Route const& aRoute)
{
  auto const found = mSnapshot->mUpstreamByAddress.find(aRoute.mUpstream);
  if (found == mSnapshot->mUpstreamByAddress.end()) {
    return Deliver(aFlow, aRoute.mUpstream);
  }
  auto const owner = mSnapshot->mUpstreams[found->second].mOwner;
  bool const elsewhere = owner && !mSnapshot->IsSelf(*owner);
  if (elsewhere && aRoute.mKind != RouteKind::Touch) {
    Route route = aRoute;
    route.mKind = RouteKind::Touch;
    return ToEntry(*owner, route);
  }
  auto* const ledger = LedgerOf(aRoute.mUpstream);
  if (ledger != nullptr &&
      !ledger->NoteCaller(aNow, aFlow.mHash, aFlow.mPacket.Flags())) {
    ledger->Claim(aNow, aFlow.mHash);
  }
  return Deliver(aFlow, aRoute.mUpstream);
}

PacketAction
PacketEngine::Deliver(Flow& aFlow, Endpoint aUpstream)
{
  auto const found = mSnapshot->mUpstreamByAddress.find(aUpstream);
  if (found != mSnapshot->mUpstreamByAddress.end()) {
    auto const& view = mSnapshot->mUpstreams[found->second];
    if (view.mService != aFlow.mService) {
      return Drop(Counter::DropUnknownService);
    }
    if (!view.mZoneIn) {
      return Drop(Counter::DropZoneOut);
    }
  }
  aFlow.mPacket.RewriteDestination(aUpstream);
  mCounters.Add(Counter::PacketsToUpstream);
  return { ActionKind::ToFabric, {}, {}, {} };
}

PacketAction
PacketEngine::ToEntry(EntryIndex aEntry, Route aRoute)
{
  mCounters.Add(Counter::PacketsToPeer);
  ++aRoute.mHops;
  return { ActionKind::ToPeer, {}, mSnapshot->mEntries[aEntry].mData, aRoute };
}

PacketAction
PacketEngine::Drop(Counter aCause)
{
  mCounters.Add(aCause);
  return { ActionKind::Drop, aCause, {}, {} };
}

void
PacketEngine::Sweep(TimePoint aNow)
{
  if (!mSnapshot) {
    return;
  }
  for (std::size_t index = 0; index < mExceptions.size(); ++index) {
    auto const idle = mSnapshot->mServices[index].mService.mIdleTimeout;
    mExceptions[index].EraseIf([&](ExceptionEntry const& aEntry) {
      return aEntry.mSeen.AgeAt(aNow) > idle + kRefreshInterval;
    });
  }
  for (auto& [address, ledger] : mLedgers) {
    auto const found = mSnapshot->mUpstreamByAddress.find(address);
    if (found == mSnapshot->mUpstreamByAddress.end()) {
      continue;
    }
    auto const service = mSnapshot->mUpstreams[found->second].mService;
    auto const idle = mSnapshot->mServices[service].mService.mIdleTimeout;
    ledger.Sweep(aNow, idle + kRefreshInterval);
  }
}

FlowLedger*
PacketEngine::LedgerOf(Endpoint aUpstream)
{
  auto const found = mLedgers.find(aUpstream);
  return found == mLedgers.end() ? nullptr : &found->second;
}

AdmissionRight const*
PacketEngine::RightOf(Endpoint aUpstream) const
{
  if (!mRights) {
    return nullptr;
  }
  for (auto const& right : *mRights) {
    if (right.mUpstream == aUpstream) {
      return &right;
    }
  }
  return nullptr;
}

bool
PacketEngine::IsNeighbour(EntryIndex aEntry) const
{
  return mSnapshot->mSelf && mSnapshot->mEntries[aEntry].mZone ==
                               mSnapshot->mEntries[*mSnapshot->mSelf].mZone;
}

Endpoint
PacketEngine::SelfData() const
{
  return mSnapshot->mSelf ? mSnapshot->mEntries[*mSnapshot->mSelf].mData
                          : Endpoint{};
}

void
PacketEngine::Note(DecisionKind aKind, Flow const& aFlow, Endpoint aUpstream)
{
  if (mDecisions.size() >= kMaxQueuedDecisions) {
    mCounters.Add(Counter::DecisionLogOverflow);
    return;
  }
  mDecisions.push_back({ aKind, aFlow.mKey, aUpstream });
}

std::vector<UpstreamUsage>
PacketEngine::Usage() const
{
  std::vector<UpstreamUsage> usage;
  for (auto const& [address, ledger] : mLedgers) {
    usage.push_back({ address, { ledger.Used(), 0 }, ledger.IsCold() });
  }
  return usage;
}

std::vector<ExceptionTransfer>
PacketEngine::TakeTransfers()
{
  return std::exchange(mTransfers, {});
}

std::vector<DecisionRecord>
PacketEngine::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

std::size_t
PacketEngine::ExceptionCount() const
{
  std::size_t count = 0;
  for (auto const& table : mExceptions) {
    count += table.Size();
  }
  return count;
}

std::size_t
PacketEngine::MemoryBytes() const
{
  std::size_t bytes = mAnswers.MemoryBytes();
  for (auto const& table : mExceptions) {
    bytes += table.MemoryBytes();
  }
  for (auto const& [address, ledger] : mLedgers) {
    bytes += ledger.MemoryBytes();
  }
  return bytes;
}

Result<SteeringExplanation>
Explain(SteeringSnapshot const& aSnapshot,
        std::string const& aService,
        FlowKey aFlow)
{
  for (std::size_t index = 0; index < aSnapshot.mServices.size(); ++index) {
    auto const& service = aSnapshot.mServices[index];
    if (service.mService.mName != aService || service.mTable.Empty()) {
      continue;
    }
    aFlow.mService = service.mService.mAddress;
    auto const& base = service.mBase[service.mTable.Pick(aFlow.Hash())];
    SteeringExplanation result;
    result.mService = aService;
    result.mPureChoice = ToText(base.mAddress);
    if (base.mUpstream) {
      auto const& upstream = aSnapshot.mUpstreams[*base.mUpstream];
      result.mPureChoice = upstream.mUpstream.mName;
      result.mOwner =
        upstream.mOwner ? aSnapshot.mEntries[*upstream.mOwner].mName : "";
    }
    for (auto const entry : base.mChain) {
      result.mHomes.push_back(aSnapshot.mEntries[entry].mName);
    }
    for (auto const candidate : aSnapshot.Candidates(index, aFlow.Hash())) {
      result.mCandidates.push_back(
        aSnapshot.mUpstreams[candidate].mUpstream.mName);
    }
    return result;
  }
  return Reason{ ReasonCode::NotFound,
                 "service '" + aService + "' is not declared" };
}

} // namespace tarragonsill
