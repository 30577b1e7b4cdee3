#include "tarragonsill_test.hpp"

#include "support/core_group.hpp"
#include "tarragonsill/protocol/tarragonsill_peer_message.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

/// Generates a message with a valid sender and a random body.
wire::PeerMessage
RandomMessage()
{
  wire::PeerMessage message;
  auto const number = [] { return *rc::gen::inRange<std::uint32_t>(0, 70000); };
  auto const fillMember = [&](wire::MemberUpdate& aUpdate) {
    aUpdate.set_name(*rc::gen::element<std::string>("a-0", "a-1", "x", "y"));
    aUpdate.set_zone(*rc::gen::element<std::string>("a", "b"));
    aUpdate.set_address(number());
    aUpdate.set_control_port(1);
    aUpdate.set_data_port(2);
    aUpdate.set_calls_port(3);
    aUpdate.set_incarnation(number() % 4);
    aUpdate.set_revision(number());
    aUpdate.set_stage(number() % 7);
    aUpdate.set_health(number() % 7);
  };
  fillMember(*message.mutable_sender());
  for (auto count = number() % 4; count > 0; --count) {
    fillMember(*message.add_updates());
  }
  message.set_configuration_version(number());
  auto const fillItem = [&](wire::LeaseItem& aItem) {
    aItem.set_address(0x0A000001);
    aItem.set_port(number());
    aItem.set_connections(number());
    aItem.set_term(number());
    aItem.set_known(true);
  };
  switch (number() % 8) {
    case 0:
      message.mutable_ping()->set_origin_port(number());
      break;
    case 1:
      message.mutable_ping_request()->set_target_port(number());
      break;
    case 2:
      message.mutable_join_request()->set_offset(number());
      break;
    case 3:
      fillMember(*message.mutable_join_ack()->add_members());
      message.mutable_join_ack()->set_refused(number() % 2 == 0);
      break;
    case 4:
      message.mutable_lease_ask()->set_sequence(number());
      fillItem(*message.mutable_lease_ask()->add_items());
      break;
    case 5:
      message.mutable_lease_grant()->set_sequence(number() % 10);
      fillItem(*message.mutable_lease_grant()->add_items());
      break;
    case 6:
      message.mutable_exception_batch()->add_flows(number());
      break;
    default:
      message.mutable_exception_ack()->set_sequence(number() % 10);
  }
  return message;
}

} // namespace

TEST_GROUP(PeerMessage){};

TEST(PeerMessage, any_bytes_give_a_message_or_a_reason)
{
  CheckProperty("any bytes", [] {
    auto const bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    auto const message = ReadPeerMessage(std::as_bytes(std::span(bytes)));
    bool const hasMessageOrReason =
      message.HasValue() || message.LastReason().mCode != ReasonCode::None;
    RC_ASSERT(hasMessageOrReason);
  });
}

TEST(PeerMessage, a_corrupted_message_gives_a_message_or_a_reason)
{
  CheckProperty("corrupted messages", [] {
    auto text = RandomMessage().SerializeAsString();
    auto const corruptions =
      *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(
        rc::gen::arbitrary<std::pair<std::uint16_t, char>>());
    for (auto const& [position, character] : corruptions) {
      text[position % text.size()] = character;
    }
    auto const message = ReadPeerMessage(std::as_bytes(std::span(text)));
    bool const hasMessageOrReason =
      message.HasValue() || message.LastReason().mCode != ReasonCode::None;
    RC_ASSERT(hasMessageOrReason);
  });
}

TEST(PeerMessage, a_sender_without_ports_is_rejected)
{
  wire::PeerMessage message;
  message.mutable_sender()->set_name("x");
  auto const text = message.SerializeAsString();
  auto const result = ReadPeerMessage(std::as_bytes(std::span(text)));
  CHECK(result.LastReason().mCode == ReasonCode::Invalid);
}

TEST(PeerMessage, no_message_breaks_an_invariant_of_the_control_plane)
{
  CheckProperty("any messages", [] {
    CoreGroup group(CoreGroup::Options{}, MakeConfiguration({}));
    group.Add("a");
    group.Add("a");
    group.RunUntilServing();
    auto const count = *rc::gen::inRange(1, 30);
    for (int index = 0; index < count; ++index) {
      Outbox outbox;
      group.At(0).mControlPlane.Handle(group.Now(), RandomMessage(), outbox);
      group.Run(milliseconds{ 20 });
    }
  });
}
