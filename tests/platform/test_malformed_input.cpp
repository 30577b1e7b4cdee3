#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"
#include "tarragonsill/platform/tarragonsill_platform_objects.hpp"
#include "tarragonsill/platform/tarragonsill_platform_packet.hpp"
#include "tarragonsill/platform/tarragonsill_platform_settings.hpp"
#include "tarragonsill/protocol/tarragonsill_peer_message.hpp"

#include <nlohmann/json.hpp>

using namespace tarragonsill;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t kEra = 3;

constexpr TimePoint kStart{ seconds{ 100 } };
/// Longer times are errors of the writer.
constexpr milliseconds kMaxTime{ 24 * 3600 * 1000 };

Json
UpstreamSpec()
{
  return { { "service", "web" },     { "address", "10.1.64.9:8080" },
           { "zone", "a" },          { "version", "v1" },
           { "slots", 4 },           { "state", "ready" },
           { "coldLeftMs", 0 },      { "seq", 9 },
           { "born", 1796000000000 } };
}

Json
ConfigurationSpec()
{
  return {
    { "version", 7 },
    { "routes",
      { { { "name", "main" },
          { "host", "198.18.0.1" },
          { "pathPrefix", "/443/" },
          { "type", "safe" },
          { "latencyTargetMs", 250 },
          { "split", { { { "service", "web" }, { "weight", 3 } } } } } } },
    { "services",
      { { { "name", "web" }, { "coldS", 2.0 }, { "coldRateS", 2.0 } } } },
    { "limits", { { "idleTimeoutMs", 15000 } } }
  };
}

std::string
ListBody(std::string const& aName, Json const& aSpec)
{
  Json const object = { { "meta", { { "name", aName }, { "revision", 31 } } },
                        { "spec", aSpec },
                        { "status", nullptr } };
  return Json{
    { "items", { object } }, { "more", false }, { "currentRev", 40 }
  }.dump();
}

/// Returns a value that a foreign writer may store in place of the right one.
Json
UnexpectedValue()
{
  auto const values = Json::array({ nullptr,
                                    true,
                                    -1,
                                    0,
                                    1e300,
                                    -1e300,
                                    4294967296,
                                    18446744073709551615U,
                                    0.5,
                                    "",
                                    "x",
                                    "0",
                                    "999.1.1.1:70000",
                                    "/99999/",
                                    Json::array(),
                                    Json::object(),
                                    Json::array({ Json::array({ 1 }) }) });
  return values[*rc::gen::inRange<std::size_t>(0, values.size())];
}

/// Replaces a random value of a document with an unexpected one.
Json
Mutated(Json aDocument)
{
  auto const flat = aDocument.flatten();
  auto leaf = flat.begin();
  std::advance(leaf, *rc::gen::inRange<std::size_t>(0, flat.size()));
  Json::json_pointer pointer(leaf.key());
  // Sometimes a whole branch is replaced instead of a leaf.
  while (!pointer.parent_pointer().empty() && *rc::gen::inRange(0, 4) == 0) {
    pointer = pointer.parent_pointer();
  }
  aDocument[pointer] = UnexpectedValue();
  return aDocument;
}

/// Replaces, removes or inserts some bytes.
std::string
Corrupted(std::string aText)
{
  auto const corruptions = *rc::gen::inRange(0, 4);
  for (int corruption = 0; corruption < corruptions && !aText.empty();
       ++corruption) {
    auto const position = *rc::gen::inRange<std::size_t>(0, aText.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        aText[position] =
          static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
        break;
      case 1:
        aText.erase(position, *rc::gen::inRange<std::size_t>(1, 40));
        break;
      default:
        aText.insert(position, 1, static_cast<char>(*rc::gen::inRange(0, 256)));
        break;
    }
  }
  return aText;
}

std::span<std::byte const>
BytesOf(std::string const& aText)
{
  return std::as_bytes(std::span(aText));
}

void
CheckTimeIsBounded(milliseconds aTime)
{
  RC_ASSERT(aTime >= milliseconds{ 0 });
  RC_ASSERT(aTime <= kMaxTime);
}

} // namespace

/// A malformed message must not end the process, and must not change how it
/// handles other messages.
TEST_GROUP(MalformedInput)
{
  /// The directory of a VM, with two valid upstreams and a configuration.
  Test::SampleStore mStore;

  void setup() override
  {
    mStore.ListAll(kStart);
    mStore.Configure(kStart, Test::SampleConfiguration());
    mStore.Register(kStart, Test::SampleUpstream("a1", "a"));
    mStore.Register(kStart, Test::SampleUpstream("a2", "a"));
  }

  void ApplyList(ObjectKind aKind, std::string const& aBody)
  {
    ObjectQuery query;
    query.mKind = aKind;
    auto page = Platform::ObjectFormat::Decode(query, kEra, aBody);
    if (!page) {
      return;
    }
    StoreUpdate const update{
      aKind, page.Value().mChanges, false, { kEra, 40 }, { kEra, 30 }
    };
    (void)mStore.TargetDirectory().Apply(kStart, update);
  }

  /// Checks that new flows are forwarded with the current state.
  void Steer()
  {
    CookieSteering steering(1);
    steering.SetView(mStore.View(kStart));
    for (std::uint16_t port = 40000; port < 40010; ++port) {
      Test::SampleFlow const flow({ Test::kCaller.mAddress, port });
      auto const verdict = steering.Steer(kStart, flow.Opening());
      RC_ASSERT(verdict.mAction == SteeringAction::Forward);
    }
    steering.Sweep(kStart + seconds{ 1 });
  }
};

TEST(MalformedInput, malformed_upstreams_leave_the_others_in_use)
{
  CheckProperty("a malformed upstream leaves the others in use", [this] {
    auto const spec = Mutated(Mutated(UpstreamSpec()));
    ApplyList(ObjectKind::Upstreams, Corrupted(ListBody("i-00a1", spec)));
    for (auto const& upstream : mStore.View(kStart)->mUpstreams) {
      RC_ASSERT(upstream.mRegistration.mSlots > 0U);
      CheckTimeIsBounded(upstream.mRegistration.mRemainingColdTime);
      RC_ASSERT(upstream.mColdUntil <= kStart + kMaxTime);
    }
    Steer();
  });
}

TEST(MalformedInput, configurations_are_decoded_or_rejected)
{
  CheckProperty("a configuration is decoded or rejected", [] {
    ObjectQuery query;
    auto const body = ListBody("main", Mutated(ConfigurationSpec()));
    auto page = Platform::ObjectFormat::Decode(query, kEra, Corrupted(body));
    if (!page) {
      return;
    }
    for (auto const& change : page.Value().mChanges) {
      auto const* configuration =
        std::get_if<RoutingConfiguration>(&change.mContent);
      if (configuration == nullptr) {
        continue;
      }
      CheckTimeIsBounded(configuration->mIdleTimeout);
      for (auto const& route : configuration->mRoutes) {
        CheckTimeIsBounded(route.mLatencyTarget);
      }
      for (auto const& service : configuration->mServices) {
        CheckTimeIsBounded(service.mColdTime);
        RC_ASSERT(service.mColdFlowsPerSecond >= 0.0);
      }
    }
  });
}

TEST(MalformedInput, datagrams_are_parsed_or_rejected)
{
  CheckProperty("a datagram is parsed or rejected", [] {
    auto const bytes =
      *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127));
    (void)Platform::PacketFormat::Read(BytesOf(bytes));
    (void)ReadPeerMessage(BytesOf(bytes));
    wire::PeerMessage message;
    message.mutable_sender()->set_name("vm-1");
    message.mutable_sender()->set_zone("a");
    message.add_updates()->set_name("vm-2");
    (void)ReadPeerMessage(BytesOf(Corrupted(message.SerializeAsString())));
  });
}

TEST(MalformedInput, settings_files_are_parsed_or_rejected)
{
  std::string const text = R"(nodeName = "vm-1"
zone = "a"
ip = "10.1.0.10"
internalPortRange = [7720,7735]
seeds = ["10.1.0.10:8166"]
heartbeatIntervalMs = 1200
[zones]
a = "r"
[listen]
packetAddr = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
control = "10.1.0.10:8166"
[bounds]
drainMs = 3000
configPropagationMs = 3000
[platform]
address = "10.200.1.7:8169"
)";
  CheckProperty("a settings file is parsed or rejected", [&] {
    FileErrors errors("node.toml");
    auto const settings = Platform::ReadNodeSettings(Corrupted(text), errors);
    if (settings) {
      CheckTimeIsBounded(settings->mBounds.mDrain);
      CheckTimeIsBounded(settings->mBounds.mConfiguration);
      CheckTimeIsBounded(settings->mHeartbeat);
    }
  });
}
