#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/protocol/tarragonsill_peer_message.hpp"

using namespace tarragonsill;

/// Messages that the program of commit c1cfd10 wrote. In a rolling upgrade VMs
/// of that program and of this one talk to each other.
namespace {

constexpr char const* kKnowledgeReply =
  "0a4308ae0310071a260a0377656215010012c618bb0322070a03776562105a22"
  "090a056c6162656c100a280130d80422110a0377656210d00f19000000000000"
  "044028e05d10c2031a340a0a692d376633613931633210b80319c2913a7f0000"
  "0000250900800a28903f32037765623a0161400450dc0b5880a0899fc5681a2f"
  "0a06692d3030666610b90319ff00000000000000250900800a28903f32037765"
  "623a0161400448015880a0899fc56820c2032a060a016210b3033090033a0b0a"
  "06692d3030303110ba03400248025002";
constexpr char const* kKnowledgeRequest = "080710b90318b30320022802";
constexpr char const* kPeerMessage =
  "0a260a04766d2d311201611d0a00010a20a83c28ec3f30aa3c394d0000000000"
  "000040034802500118072202080968ba0370b3037a7c0a340a0a692d37663361"
  "3931633210b80319c2913a7f00000000250900800a28903f32037765623a0161"
  "400450dc0b5880a0899fc5680a2f0a06692d3030666610b90319ff0000000000"
  "0000250900800a28903f32037765623a0161400448015880a0899fc568120b0a"
  "06692d3030303110ba0328b70330ba033802820107087810c203180288010290"
  "0102980102";

std::string
FromHex(std::string const& aText)
{
  std::string bytes;
  for (std::size_t index = 0; index + 1 < aText.size(); index += 2) {
    bytes.push_back(
      static_cast<char>(std::stoi(aText.substr(index, 2), nullptr, 16)));
  }
  return bytes;
}

wire::PeerMessage
RecordedPeerMessage()
{
  auto const bytes = FromHex(kPeerMessage);
  auto message = ReadPeerMessage(std::as_bytes(std::span(bytes)));
  CHECK(message.HasValue());
  return message.Take();
}

void
CheckUpstreams(std::vector<ObjectChange> const& aChanges)
{
  LONGS_EQUAL(3, aChanges.size());
  auto const& serving = std::get<UpstreamRegistration>(aChanges[0].mContent);
  STRCMP_EQUAL("i-7f3a91c2", aChanges[0].mName.c_str());
  CHECK((aChanges[0].mPosition == StorePosition{ 2, 440 }));
  CHECK(serving.mIdentity == 0x7F3A91C2);
  CHECK((serving.mAddress == Endpoint{ { 0x0A800009 }, 8080 }));
  STRCMP_EQUAL("web", serving.mService.c_str());
  STRCMP_EQUAL("a", serving.mZone.c_str());
  LONGS_EQUAL(4, serving.mSlots);
  CHECK_FALSE(serving.mDraining);
  LONGS_EQUAL(1500, serving.mRemainingColdTime.count());
  CHECK(serving.mStartMark == 1796000000000);
  auto const& draining = std::get<UpstreamRegistration>(aChanges[1].mContent);
  CHECK(draining.mDraining);
  LONGS_EQUAL(0, draining.mRemainingColdTime.count());
  STRCMP_EQUAL("i-0001", aChanges[2].mName.c_str());
  CHECK(aChanges[2].mRemoved);
}

} // namespace

TEST_GROUP(RecordedMessages){};

TEST(RecordedMessages, a_knowledge_reply_means_what_it_meant)
{
  wire::KnowledgeReply reply;
  CHECK(reply.ParseFromString(FromHex(kKnowledgeReply)));
  auto const lists = FromMessage(reply);
  LONGS_EQUAL(1, lists.mConfiguration.mChanges.size());
  auto const& configuration = std::get<RoutingConfiguration>(
    lists.mConfiguration.mChanges.front().mContent);
  LONGS_EQUAL(7, configuration.mVersion);
  LONGS_EQUAL(12000, configuration.mIdleTimeout.count());
  LONGS_EQUAL(1, configuration.mRoutes.size());
  auto const& route = configuration.mRoutes.front();
  CHECK((route.mAddress == Endpoint{ { 0xC6120001 }, 443 }));
  CHECK(route.mKind == RequestKind::Idempotent);
  LONGS_EQUAL(600, route.mLatencyTarget.count());
  LONGS_EQUAL(2, route.mShares.size());
  LONGS_EQUAL(90, route.mShares.front().mWeight);
  DOUBLES_EQUAL(
    2.5, configuration.mServices.front().mColdFlowsPerSecond, 0.0001);
  LONGS_EQUAL(2000, configuration.mServices.front().mColdTime.count());
  CheckUpstreams(lists.mUpstreams.mChanges);
  CHECK((lists.mUpstreams.mPosition == StorePosition{ 2, 450 }));
  CHECK((lists.mUpstreamsAfter == StorePosition{ 2, 400 }));
  LONGS_EQUAL(1, lists.mEvacuations.mChanges.size());
  STRCMP_EQUAL("b", lists.mEvacuations.mChanges.front().mName.c_str());
}

TEST(RecordedMessages, a_knowledge_request_means_what_it_meant)
{
  wire::KnowledgeRequest request;
  CHECK(request.ParseFromString(FromHex(kKnowledgeRequest)));
  auto const digest = FromMessage(request);
  LONGS_EQUAL(7, digest.mConfiguration);
  CHECK((digest.mUpstreams == StorePosition{ 2, 441 }));
  CHECK((digest.mEvacuations == StorePosition{ 2, 435 }));
}

TEST(RecordedMessages, a_message_between_vms_means_what_it_meant)
{
  auto const message = RecordedPeerMessage();
  STRCMP_EQUAL("vm-1", message.sender().name().c_str());
  LONGS_EQUAL(77, message.sender().incarnation());
  LONGS_EQUAL(9, message.ping().sequence());
  LONGS_EQUAL(442, message.upstreams_revision());
  LONGS_EQUAL(2, message.store_era());
  LONGS_EQUAL(120, message.watch().age_ms());
  LONGS_EQUAL(450, message.watch().complete_to_revision());
  auto const range = RangeOf(message.knowledge());
  CHECK((range.mAfter == StorePosition{ 2, 439 }));
  CHECK((range.mUpTo == StorePosition{ 2, 442 }));
  CheckUpstreams(ChangesOf(ObjectKind::Upstreams, message.knowledge()));
  CHECK(message.zone_reach() == wire::ZONE_REACH_UNKNOWN);
}

TEST(RecordedMessages, messages_are_written_as_the_older_program_wrote_them)
{
  wire::KnowledgeReply reply;
  CHECK(reply.ParseFromString(FromHex(kKnowledgeReply)));
  CHECK(ToMessage(FromMessage(reply)).SerializeAsString() ==
        FromHex(kKnowledgeReply));
  wire::KnowledgeRequest request;
  CHECK(request.ParseFromString(FromHex(kKnowledgeRequest)));
  CHECK(ToMessage(FromMessage(request)).SerializeAsString() ==
        FromHex(kKnowledgeRequest));
  auto message = RecordedPeerMessage();
  CHECK(message.SerializeAsString() == FromHex(kPeerMessage));
  // A newer field follows the known ones, and an older program skips it.
  message.set_zone_reach(wire::ZONE_REACH_SILENT);
  CHECK(message.SerializeAsString().starts_with(FromHex(kPeerMessage)));
}

TEST(RecordedMessages, the_cookie_of_an_upstream_is_the_same)
{
  LONGS_EQUAL(269116350, CookieOf("i-7f3a91c2"));
}
