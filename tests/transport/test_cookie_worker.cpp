#include "tarragonsill_test.hpp"

#include "support/loopback_network.hpp"
#include "support/routing_fixture.hpp"
#include "tarragonsill/transport/tarragonsill_cookie_worker.hpp"

#include <thread>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr std::byte kPausingPacket{ 'p' };
constexpr std::byte kOpeningPacket{ 'o' };
constexpr Duration kPause = milliseconds{ 400 };

/// Packets of one byte. The thread that reads the pausing packet is paused, but
/// only once, however often a packet is decoded.
struct PausingFormat
{
  static constexpr std::size_t kHeaderBytes = 8;
  inline static std::atomic<bool> sIsPauseDue = false;

  static std::optional<FlowPacket> Read(std::span<std::byte const> aBytes)
  {
    if (aBytes.front() == kPausingPacket) {
      std::this_thread::sleep_for(sIsPauseDue.exchange(false) ? kPause
                                                              : Duration{ 0 });
      return std::nullopt;
    }
    return SampleFlow().Opening();
  }
  static void WriteCookie(std::span<std::byte> /*aBytes*/,
                          std::uint32_t /*aCookie*/)
  {
  }
  static void WriteReset(std::span<std::byte> /*aBytes*/,
                         Endpoint /*aRoute*/,
                         Endpoint /*aCaller*/,
                         std::uint32_t /*aSequence*/)
  {
  }
};

} // namespace

// Guards against opening packets that are queued while a VM is suspended as it
// starts, and forwarded once it has its view (review/7: open flows are reset).
TEST_GROUP(CookieWorker)
{
  Counters mCounters;
  NodeLog mLog{ "entry-a-1", mCounters };
  std::atomic<TimePoint> mCurrentAsOf{};
  SampleStore mStore;
  std::optional<UdpSocket> mUpstream;
  std::optional<UdpSocket> mCaller;
  std::unique_ptr<CookieWorker<PausingFormat>> mWorker;
  Endpoint const mPackets = LoopbackNetwork::At(0x0001, 18172);

  void setup() override
  {
    auto registration = SampleUpstream("a1", "a");
    registration.mAddress = LoopbackNetwork::At(0x0201, 18080);
    mUpstream = TakeOrFail(UdpSocket::Bind(registration.mAddress));
    mCaller = TakeOrFail(UdpSocket::Bind(LoopbackNetwork::At(0x0101, 18172)));
    mStore.ListAll(Clock::now());
    mStore.Configure(Clock::now(), SampleConfiguration());
    mStore.Register(Clock::now(), registration);
    mWorker = TakeOrFail(CookieWorker<PausingFormat>::Start(
      mPackets, 1, {}, mCurrentAsOf, mCounters, mLog));
  }

  void Send(std::byte aPacket)
  {
    CHECK(mCaller->Send(mPackets, std::array{ aPacket }));
  }

  void PostView()
  {
    mWorker->PostView(mStore.View(Clock::now()));
  }

  bool IsForwarded()
  {
    constexpr milliseconds kTimeout{ 500 };
    return !mUpstream->Receive(kTimeout).empty();
  }
};

TEST(CookieWorker, an_opening_packet_from_before_the_view_waits_for_it)
{
  Send(kOpeningPacket);
  std::this_thread::sleep_for(milliseconds{ 20 });
  PostView();
  CHECK(IsForwarded());
}

TEST(CookieWorker, an_opening_packet_from_a_pause_before_the_view_is_dropped)
{
  PausingFormat::sIsPauseDue = true;
  Send(kPausingPacket);
  std::this_thread::sleep_for(milliseconds{ 20 });
  Send(kOpeningPacket);
  // The view comes soon after the pause.
  std::this_thread::sleep_for(kPause + milliseconds{ 40 });
  PostView();
  CHECK_FALSE(IsForwarded());
  LONGS_EQUAL(1, mCounters.Value(Counter::DropStale));
}
