#include "tarragonsill/coordination/tarragonsill_offered_openings.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// Whether a packet may belong to the flow that was opened with a sequence
/// number, and not to an earlier or later one from the same port.
bool
MayFollow(FlowPacket const& aPacket, std::uint32_t aOpeningSequence)
{
  constexpr std::uint32_t kMaxBytesMeanwhile = 1U << 24U;
  auto const distance = aPacket.mSequence - aOpeningSequence;
  return distance > 0 && distance < kMaxBytesMeanwhile;
}

} // namespace

OfferedOpenings::Offer&
OfferedOpenings::OfferTo(Opening& aOpening, std::uint32_t aSlot)
{
  auto& offers = aOpening.mOffers;
  auto const found =
    std::find_if(offers.begin(), offers.end(), [&](Offer const& aOffer) {
      return aOffer.mSlot == aSlot;
    });
  return found != offers.end() ? *found : offers.emplace_back(Offer{ aSlot });
}

OfferedOpenings::Opening*
OfferedOpenings::FindOrAdd(std::uint64_t aFlow, FlowPacket const& aOpening)
{
  auto found = mOpenings.find(aFlow);
  if (found == mOpenings.end() && mOpenings.size() >= kMaxOpenings) {
    return nullptr;
  }
  bool const isKnown =
    found != mOpenings.end() && found->second.mSequence == aOpening.mSequence;
  if (!isKnown) {
    found = mOpenings.insert_or_assign(aFlow, Opening{}).first;
    found->second.mSequence = aOpening.mSequence;
  }
  return &found->second;
}

void
OfferedOpenings::RecordOffer(TimePoint aNow,
                             std::uint64_t aFlow,
                             FlowPacket const& aOpening,
                             std::uint32_t aSlot)
{
  auto* const opening = FindOrAdd(aFlow, aOpening);
  if (opening == nullptr) {
    return;
  }
  opening->mOfferedAt = aNow;
  auto& offer = OfferTo(*opening, aSlot);
  offer.mOfferedAt = aNow;
  offer.mIsObsolete = false;
}

std::optional<std::vector<std::byte>>
OfferedOpenings::RecordHolder(std::uint64_t aFlow,
                              FlowPacket const& aPacket,
                              std::uint32_t aSlot)
{
  auto const found = mOpenings.find(aFlow);
  if (found == mOpenings.end() || found->second.mHolder ||
      found->second.mBytes.empty() ||
      !MayFollow(aPacket, found->second.mSequence)) {
    return std::nullopt;
  }
  found->second.mHolder = aSlot;
  return found->second.mBytes;
}

void
OfferedOpenings::RecordReport(TimePoint aNow,
                              std::uint64_t aFlow,
                              FlowPacket const& aOpening,
                              std::span<std::byte const> aBytes,
                              std::uint32_t aHolder)
{
  auto* const opening = FindOrAdd(aFlow, aOpening);
  if (opening == nullptr || opening->mHolder) {
    return;
  }
  opening->mOfferedAt = aNow;
  opening->mHolder = aHolder;
  if (opening->mBytes.empty() && aBytes.size() <= kMaxPacketBytes) {
    opening->mBytes.assign(aBytes.begin(), aBytes.end());
  }
}

std::optional<std::uint32_t>
OfferedOpenings::HolderOf(std::uint64_t aFlow, FlowPacket const& aPacket) const
{
  auto const found = mOpenings.find(aFlow);
  bool const isKnown =
    found != mOpenings.end() && MayFollow(aPacket, found->second.mSequence);
  return isKnown ? found->second.mHolder : std::nullopt;
}

void
OfferedOpenings::KeepPacket(std::uint64_t aFlow,
                            FlowPacket const& aOpening,
                            std::span<std::byte const> aBytes)
{
  auto const found = mOpenings.find(aFlow);
  bool const isOffered =
    found != mOpenings.end() && found->second.mSequence == aOpening.mSequence;
  if (isOffered && aBytes.size() <= kMaxPacketBytes) {
    found->second.mBytes.assign(aBytes.begin(), aBytes.end());
  }
}

std::vector<OfferedOpenings::LateAnswerer>
OfferedOpenings::FindDue(TimePoint aNow,
                         std::uint64_t aFlow,
                         FlowPacket const& aPacket,
                         Holder const& aHolder)
{
  std::vector<LateAnswerer> due;
  auto const found = mOpenings.find(aFlow);
  if (found == mOpenings.end() || found->second.mBytes.empty() ||
      !MayFollow(aPacket, found->second.mSequence)) {
    return due;
  }
  auto& opening = found->second;
  // Another VM may have offered the flow to the upstream that answers.
  if (aHolder.mNamedSlot) {
    auto& named = OfferTo(opening, *aHolder.mNamedSlot);
    named.mOfferedAt =
      named.mOfferedAt == TimePoint{} ? opening.mOfferedAt : named.mOfferedAt;
  }
  for (auto const& offer : opening.mOffers) {
    bool const hasAnswered = aHolder.mNamedSlot == offer.mSlot;
    bool const isFirstCopy = offer.mCopiedAt == TimePoint{};
    auto const maxAge = hasAnswered ? kMaxAnswerAge : kMaxOfferAge;
    if (offer.mSlot == aHolder.mSlot || offer.mIsObsolete ||
        (!hasAnswered && !isFirstCopy) ||
        (!isFirstCopy && aNow < offer.mCopiedAt + kMinInterval) ||
        aNow >= offer.mOfferedAt + maxAge) {
      continue;
    }
    due.push_back({ offer.mSlot, offer.mOfferedAt, hasAnswered });
  }
  return due;
}

std::vector<std::byte>
OfferedOpenings::TakeCopy(TimePoint aNow,
                          std::uint64_t aFlow,
                          std::uint32_t aSlot)
{
  auto& opening = mOpenings[aFlow];
  OfferTo(opening, aSlot).mCopiedAt = aNow;
  return opening.mBytes;
}

void
OfferedOpenings::ForgetUpstream(std::uint32_t aSlot)
{
  for (auto& [flow, opening] : mOpenings) {
    if (opening.mHolder == aSlot) {
      opening.mHolder.reset();
    }
    for (auto& offer : opening.mOffers) {
      offer.mIsObsolete = offer.mIsObsolete || offer.mSlot == aSlot;
    }
  }
}

void
OfferedOpenings::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mOpenings, [&](auto const& aEntry) {
    return aNow >= aEntry.second.mOfferedAt + kMaxAnswerAge;
  });
}

} // namespace tarragonsill
