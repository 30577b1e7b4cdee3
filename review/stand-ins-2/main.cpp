// Stand-ins for the platform's store, routers, hosts and clients, and a runner
// that starts entry VMs as separate processes. Each scenario disturbs them and
// checks one rule by what hosts, clients and the store saw.
//
// usage: stand-ins SCENARIO PROGRAM RECORD DIRECTORY
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Clock = std::chrono::steady_clock;

static Clock::time_point const kStart = Clock::now();

static double
Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

static void
SleepUntil(double aTime)
{
  std::this_thread::sleep_until(kStart +
                                std::chrono::duration_cast<Clock::duration>(
                                  std::chrono::duration<double>(aTime)));
}

// ---------------------------------------------------------------- the record

/// What was sent, answered and run, in order of time, with a summary.
class Record
{
public:
  void Line(std::string aText, double aTime = -1.0)
  {
    std::lock_guard const lock(mMutex);
    mLines.emplace_back(aTime < 0.0 ? Now() : aTime, std::move(aText));
  }
  void Summary(std::string const& aText)
  {
    mSummary += aText + "\n";
    std::cout << aText << std::endl;
  }
  void Write(std::string const& aFile)
  {
    std::stable_sort(
      mLines.begin(), mLines.end(), [](auto const& aLeft, auto const& aRight) {
        return aLeft.first < aRight.first;
      });
    std::ofstream file(aFile);
    file << mSummary << '\n';
    for (auto const& [time, text] : mLines) {
      char prefix[32];
      std::snprintf(prefix, sizeof(prefix), "%8.3f ", time);
      file << prefix << text << '\n';
    }
  }

private:
  std::mutex mMutex;
  std::vector<std::pair<double, std::string>> mLines;
  std::string mSummary;
};

static Record gRecord;

// ------------------------------------------------------------------ addresses

struct Address
{
  std::uint32_t mIp = 0;
  std::uint16_t mPort = 0;
  auto operator<=>(Address const&) const = default;
};

static std::string
IpText(std::uint32_t aIp)
{
  in_addr address{ htonl(aIp) };
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

static std::string
Text(Address const& aAddress)
{
  return IpText(aAddress.mIp) + ":" + std::to_string(aAddress.mPort);
}

static sockaddr_in
ToSocketAddress(Address const& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(aAddress.mIp);
  result.sin_port = htons(aAddress.mPort);
  return result;
}

static int
BindSocket(int aType, Address const& aAddress)
{
  int const number = ::socket(AF_INET, aType | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int const one = 1;
  if (aType == SOCK_STREAM) {
    ::setsockopt(number, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  }
  int const bytes = 4 << 20;
  if (aType == SOCK_DGRAM) {
    ::setsockopt(number, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  }
  auto const address = ToSocketAddress(aAddress);
  bool const isBound = ::bind(number,
                              reinterpret_cast<sockaddr const*>(&address),
                              sizeof(address)) == 0;
  if (!isBound || (aType == SOCK_STREAM && ::listen(number, 256) != 0)) {
    ::close(number);
    return -1;
  }
  return number;
}

/// All addresses of a run lie in 127.X.0.0/16; the ports are the same on all
/// machines.
struct Network
{
  std::uint32_t mPrefix = 0;
  std::uint16_t mPackets = 0;

  std::uint32_t Ip(unsigned aGroup, unsigned aNumber) const
  {
    return mPrefix | (aGroup << 8U) | aNumber;
  }
  std::uint16_t Port(int aOffset) const
  {
    return static_cast<std::uint16_t>(mPackets + aOffset);
  }
  std::uint16_t Ready() const { return Port(1); }
  std::uint16_t Control() const { return Port(2); }
  std::uint16_t Store() const { return Port(3); }
  std::uint16_t Host() const { return Port(4); }
  std::uint16_t Internal() const { return Port(20); }
};

static Network gNetwork;

static bool
FindFreeNetwork()
{
  std::mt19937 random(std::random_device{}());
  for (int attempt = 0; attempt < 50; ++attempt) {
    gNetwork.mPrefix = (127U << 24U) | ((20U + random() % 200U) << 16U);
    gNetwork.mPackets = static_cast<std::uint16_t>(21000 + random() % 8000);
    bool isFree = true;
    for (unsigned vm = 1; vm <= 16 && isFree; ++vm) {
      for (auto const port : { gNetwork.Ready(),
                               gNetwork.Control(),
                               gNetwork.Internal(),
                               std::uint16_t{ 9464 } }) {
        int const probe = BindSocket(SOCK_STREAM, { gNetwork.Ip(1, vm), port });
        isFree = isFree && probe >= 0;
        ::close(probe);
      }
    }
    if (isFree) {
      return true;
    }
  }
  return false;
}

// ---------------------------------------------------------------------- store

/// The platform's store: objects by kind and name, lists and watches over
/// HTTP/1.1. While it is down, every call gets 503 and nothing is done.
class Store
{
public:
  bool Start()
  {
    for (unsigned vm = 1; vm <= kMaxVms; ++vm) {
      mListeners.push_back(
        { BindSocket(SOCK_STREAM, { gNetwork.Ip(3, vm), gNetwork.Store() }),
          POLLIN,
          0 });
      if (mListeners.back().fd < 0) {
        return false;
      }
    }
    mThread = std::thread([this] { Accept(); });
    return true;
  }

  void Stop()
  {
    mStop = true;
    mChanged.notify_all();
    mThread.join();
    for (auto& thread : mConnections) {
      thread.join();
    }
    for (auto const& listener : mListeners) {
      ::close(listener.fd);
    }
  }

  /// Returns whether the write was acknowledged.
  bool Put(std::string const& aKind,
           std::string const& aName,
           std::string const& aSpec)
  {
    std::lock_guard const lock(mMutex);
    if (mIsDown) {
      return false;
    }
    auto& object = mObjects[aKind][aName];
    if (object.mSpec == aSpec) {
      return true;
    }
    object = { aSpec, ++mRevision };
    mEvents.push_back({ aKind, aName, object, false });
    mChanged.notify_all();
    return true;
  }

  bool Remove(std::string const& aKind, std::string const& aName)
  {
    std::lock_guard const lock(mMutex);
    auto const found = mObjects[aKind].find(aName);
    if (mIsDown || found == mObjects[aKind].end()) {
      return false;
    }
    auto object = found->second;
    object.mRevision = ++mRevision;
    mObjects[aKind].erase(found);
    mEvents.push_back({ aKind, aName, object, true });
    mChanged.notify_all();
    return true;
  }

  /// Calls of a VM about hosts.
  struct Calls
  {
    int mLists = 0;
    int mWatches = 0;
    double mLastCall = 0.0;
  };

  /// Discards all history up to now: watches from before are answered by 410.
  void DiscardHistory()
  {
    std::lock_guard const lock(mMutex);
    gRecord.Line("the store discards its history");
    mDiscards.push_back(Now());
    mCompactedTo = mRevision;
    mEvents.clear();
    mChanged.notify_all();
  }
  double LastDiscardBefore(double aTime) const
  {
    double last = -100.0;
    for (auto const at : mDiscards) {
      last = at <= aTime ? at : last;
    }
    return last;
  }

  Calls CallsOf(unsigned aVm)
  {
    std::lock_guard const lock(mMutex);
    return mVms[aVm];
  }

  void SetDown(bool aIsDown)
  {
    std::lock_guard const lock(mMutex);
    mIsDown = aIsDown;
    mChanged.notify_all();
  }

private:
  struct Object
  {
    std::string mSpec;
    std::uint64_t mRevision = 0;
  };
  struct Event
  {
    std::string mKind;
    std::string mName;
    Object mObject;
    bool mIsRemoval = false;
  };

  static std::string ToJson(std::string const& aName, Object const& aObject)
  {
    return R"({"meta":{"name":")" + aName + R"(","revision":)" +
           std::to_string(aObject.mRevision) +
           R"(,"created":1,"finalizers":[],"deletePending":false},"spec":)" +
           aObject.mSpec + R"(,"status":null})";
  }

  void Accept()
  {
    while (!mStop) {
      if (::poll(mListeners.data(), mListeners.size(), 50) <= 0) {
        continue;
      }
      for (std::size_t index = 0; index < mListeners.size(); ++index) {
        if (mListeners[index].revents == 0) {
          continue;
        }
        int const connection =
          ::accept4(mListeners[index].fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection >= 0) {
          int const one = 1;
          ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
          mConnections.emplace_back([this, connection, vm = index + 1] {
            Serve(connection, static_cast<unsigned>(vm));
          });
        }
      }
    }
  }

  void Serve(int aConnection, unsigned aVm)
  {
    std::string input;
    while (!mStop) {
      auto const end = input.find("\r\n\r\n");
      if (end != std::string::npos) {
        auto const line = input.substr(0, input.find("\r\n"));
        input.erase(0, end + 4);
        auto const answer = Answer(aVm, line);
        if (::send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL) <
            0) {
          break;
        }
        continue;
      }
      pollfd entry{ aConnection, POLLIN, 0 };
      if (::poll(&entry, 1, 50) <= 0) {
        continue;
      }
      char buffer[4096];
      auto const count = ::recv(aConnection, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        break;
      }
      input.append(buffer, static_cast<std::size_t>(count));
    }
    ::close(aConnection);
  }

  static std::string Http(int aStatus, std::string const& aBody)
  {
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  std::string Answer(unsigned aVm, std::string const& aRequestLine)
  {
    std::istringstream words(aRequestLine);
    std::string method;
    std::string target;
    words >> method >> target;
    std::string const prefix = "/objects/";
    if (method != "GET" || target.rfind(prefix, 0) != 0) {
      return Http(404, "{}");
    }
    auto const question = target.find('?');
    auto const kind = target.substr(prefix.size(), question - prefix.size());
    std::map<std::string, std::string> query;
    if (question != std::string::npos) {
      std::istringstream parts(target.substr(question + 1));
      for (std::string part; std::getline(parts, part, '&');) {
        auto const equals = part.find('=');
        query[part.substr(0, equals)] = part.substr(equals + 1);
      }
    }
    std::unique_lock lock(mMutex);
    if (mIsDown) {
      return Http(503, "{}");
    }
    if (kind == "servers") {
      auto& vm = mVms[aVm];
      (query.count("watch") == 0 ? vm.mLists : vm.mWatches) += 1;
      vm.mLastCall = Now();
    }
    if (query.count("watch") == 0) {
      return List(kind, query["after"]);
    }
    return Watch(lock,
                 kind,
                 std::strtoull(query["watch"].c_str(), nullptr, 10),
                 std::atoi(query["waitMs"].c_str()));
  }

  std::string List(std::string const& aKind, std::string const& aAfter)
  {
    std::string items;
    auto const& objects = mObjects[aKind];
    for (auto next = objects.upper_bound(aAfter); next != objects.end();
         ++next) {
      items += (items.empty() ? "" : ",") + ToJson(next->first, next->second);
    }
    return Http(200,
                R"({"items":[)" + items + R"(],"more":false,"currentRev":)" +
                  std::to_string(mRevision) + "}");
  }

  std::string Watch(std::unique_lock<std::mutex>& aLock,
                    std::string const& aKind,
                    std::uint64_t aFrom,
                    int aWaitMs)
  {
    std::string events;
    mChanged.wait_for(aLock, std::chrono::milliseconds(aWaitMs), [&] {
      for (auto const& event : mEvents) {
        if (event.mKind == aKind && event.mObject.mRevision > aFrom) {
          events +=
            (events.empty() ? "" : ",") +
            (R"({"tombstone":)" +
             std::string(event.mIsRemoval ? "true" : "false") +
             R"(,"object":)" + ToJson(event.mName, event.mObject) + "}");
        }
      }
      return !events.empty() || mIsDown || mStop || aFrom < mCompactedTo;
    });
    if (aFrom < mCompactedTo) {
      return Http(410, "{}");
    }
    if (mIsDown) {
      return Http(503, "{}");
    }
    return Http(200,
                R"({"events":[)" + events + R"(],"currentRev":)" +
                  std::to_string(mRevision) + "}");
  }

  static constexpr unsigned kMaxVms = 16;

  std::vector<pollfd> mListeners;
  std::thread mThread;
  std::deque<std::thread> mConnections;
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Object>> mObjects;
  std::vector<Event> mEvents;
  std::uint64_t mRevision = 1;
  std::uint64_t mCompactedTo = 0;
  std::vector<double> mDiscards;
  std::map<unsigned, Calls> mVms;
  bool mIsDown = false;
};

static Store gStore;

// -------------------------------------------------------------------- packets

constexpr std::size_t kHead = 36;
constexpr unsigned kSyn = 1;
constexpr unsigned kAck = 2;
constexpr unsigned kFin = 16;
constexpr unsigned kRst = 64;

struct Packet
{
  std::uint32_t mSeq = 0;
  std::uint32_t mAck = 0;
  std::uint16_t mLen = 0;
  std::uint32_t mEcho = 0;
  std::uint32_t mSum = 0;
  Address mSource;
  Address mDestination;
  unsigned mFlags = 0;

  std::uint32_t KeyedSum() const
  {
    std::uint64_t hash = 0x7a5e1f3c9d2b4680ULL;
    for (std::uint64_t const value : { std::uint64_t{ mSeq },
                                       std::uint64_t{ mAck },
                                       std::uint64_t{ mLen },
                                       std::uint64_t{ mSource.mIp },
                                       std::uint64_t{ mSource.mPort },
                                       std::uint64_t{ mDestination.mIp },
                                       std::uint64_t{ mDestination.mPort },
                                       std::uint64_t{ mFlags } }) {
      hash = (hash ^ value) * 0x100000001b3ULL;
      hash ^= hash >> 29U;
    }
    auto const sum = static_cast<std::uint32_t>(hash >> 16U);
    return sum == 0 ? 1 : sum;
  }

  std::vector<unsigned char> Write() const
  {
    std::vector<unsigned char> bytes(kHead + mLen, 0);
    auto const put = [&](std::size_t aAt, std::uint64_t aValue, int aBytes) {
      for (int index = 0; index < aBytes; ++index) {
        bytes[aAt + static_cast<std::size_t>(index)] =
          static_cast<unsigned char>(aValue >> (8 * (aBytes - 1 - index)));
      }
    };
    put(0, mSeq, 4);
    put(4, mAck, 4);
    put(8, mLen, 2);
    put(10, mEcho, 4);
    put(14, KeyedSum(), 4);
    put(18, mDestination.mPort, 2);
    put(20, mSource.mIp, 4);
    put(24, mSource.mPort, 2);
    put(26, mDestination.mIp, 4);
    put(30, mFlags, 1);
    return bytes;
  }

  static Packet Read(unsigned char const* aBytes)
  {
    auto const take = [&](std::size_t aAt, int aCount) {
      std::uint32_t value = 0;
      for (int index = 0; index < aCount; ++index) {
        value = (value << 8U) | aBytes[aAt + static_cast<std::size_t>(index)];
      }
      return value;
    };
    Packet packet;
    packet.mSeq = take(0, 4);
    packet.mAck = take(4, 4);
    packet.mLen = static_cast<std::uint16_t>(take(8, 2));
    packet.mEcho = take(10, 4);
    packet.mSum = take(14, 4);
    packet.mDestination = { take(26, 4),
                            static_cast<std::uint16_t>(take(18, 2)) };
    packet.mSource = { take(20, 4), static_cast<std::uint16_t>(take(24, 2)) };
    packet.mFlags = take(30, 1);
    return packet;
  }
};

static void
SendTo(int aSocket,
       Address const& aTo,
       std::vector<unsigned char> const& aBytes)
{
  auto const address = ToSocketAddress(aTo);
  (void)::sendto(aSocket,
                 aBytes.data(),
                 aBytes.size(),
                 0,
                 reinterpret_cast<sockaddr const*>(&address),
                 sizeof(address));
}

// ---------------------------------------------------------------------- hosts

/// An opening packet that a host took.
struct Opening
{
  double mArrived = 0.0;
  Address mClient;
  Address mRoute;
  std::uint32_t mVm = 0;
  bool mHasOpened = false;
};

struct HostOptions
{
  std::uint64_t mId = 0;
  unsigned mNumber = 0;
  std::string mService;
  std::string mZone;
  double mHeartbeatPhase = 0.0;
};

constexpr double kHeartbeat = 1.2;
constexpr double kColdTime = 2.0;
constexpr int kSlots = 4;

class Host
{
public:
  explicit Host(HostOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  std::string Name() const
  {
    char text[32];
    std::snprintf(text,
                  sizeof(text),
                  "i-%010llx",
                  static_cast<unsigned long long>(mOptions.mId));
    return text;
  }

  /// Starts listening and registers.
  bool Start(bool aIsCold)
  {
    Address const address{ gNetwork.Ip(2, mOptions.mNumber), gNetwork.Host() };
    mSocket = BindSocket(SOCK_DGRAM, address);
    mListener = BindSocket(SOCK_STREAM, address);
    if (mSocket < 0 || mListener < 0) {
      return false;
    }
    mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
    mFlows.clear();
    if (aIsCold) {
      BecomeCold();
    }
    mNextBeat = Now() + mOptions.mHeartbeatPhase;
    return true;
  }

  void BecomeCold()
  {
    mColdUntil = Now() + kColdTime;
    mColdSpans.push_back({ Now(), mColdUntil });
    gRecord.Line("host " + Name() + " is cold for 2 s");
  }

  double NextBeat() const { return mNextBeat; }

  /// Reports `draining`.
  void Drain()
  {
    mDrainedAt = Now();
    Beat();
    mDrainedAt = Now();
    gRecord.Line("the store acknowledged that host " + Name() + " drains");
  }
  double DrainedAt() const { return mDrainedAt; }
  /// Leaves: its entry is removed.
  void Leave()
  {
    gStore.Remove("servers", Name());
    gRecord.Line("host " + Name() + " has left");
    ::close(mSocket);
    ::close(mListener);
    mSocket = -1;
    mListener = -1;
  }

  /// A full host takes no new flows and serves those that it has.
  void SetFull(bool aIsFull)
  {
    mIsFull = aIsFull;
    gRecord.Line("host " + Name() + (aIsFull ? " is full" : " has room"));
  }

  void Crash()
  {
    gRecord.Line("host " + Name() + " crashes");
    ::close(mSocket);
    ::close(mListener);
    mSocket = -1;
    mListener = -1;
    mFlows.clear();
  }

  void Poll()
  {
    if (mSocket < 0) {
      return;
    }
    if (Now() >= mNextBeat) {
      Beat();
    }
    for (int connection = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
         connection >= 0;
         connection = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC)) {
      static char const answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
      (void)::send(
        connection, answer, sizeof(answer) - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
      ::close(connection);
    }
    unsigned char bytes[2048];
    sockaddr_in from{};
    while (true) {
      socklen_t size = sizeof(from);
      auto const count = ::recvfrom(mSocket,
                                    bytes,
                                    sizeof(bytes),
                                    0,
                                    reinterpret_cast<sockaddr*>(&from),
                                    &size);
      if (count < 0) {
        break;
      }
      if (static_cast<std::size_t>(count) < 8 + kHead) {
        continue;
      }
      std::uint64_t id = 0;
      for (int index = 0; index < 8; ++index) {
        id = (id << 8U) | bytes[index];
      }
      auto const packet = Packet::Read(bytes + 8);
      if (packet.mSum != packet.KeyedSum()) {
        ++mForged;
        continue;
      }
      if (id == 0 || id == mOptions.mId) {
        Handle(packet, ntohl(from.sin_addr.s_addr));
      }
    }
  }

  std::vector<Opening> const& Openings() const { return mOpenings; }
  /// Packets of flows that this host does not hold, which it reset.
  std::vector<Opening> const& Strays() const { return mStrays; }
  std::string IpAddress() const
  {
    return IpText(gNetwork.Ip(2, mOptions.mNumber));
  }
  std::vector<std::pair<double, double>> const& ColdSpans() const
  {
    return mColdSpans;
  }
  void WriteRecord() const
  {
    for (auto const& opening : mOpenings) {
      gRecord.Line("host " + Name() +
                     (opening.mHasOpened ? " took the flow of "
                                         : " answered the opening of ") +
                     Text(opening.mClient) + " from VM " + IpText(opening.mVm),
                   opening.mArrived);
    }
  }
  HostOptions const& Options() const { return mOptions; }
  std::uint64_t Forged() const { return mForged; }

private:
  struct Flow
  {
    std::uint32_t mClientSeq = 0;
    std::uint32_t mSeq = 0;      ///< Of the SYN+ACK.
    std::uint32_t mNext = 0;     ///< Of the next answer.
    std::uint32_t mExpected = 0; ///< Of the client.
    bool mIsOpen = false;
    std::size_t mOpening = 0;
  };

  void Beat()
  {
    mNextBeat = Now() + kHeartbeat;
    auto const spec = Spec();
    // The entry changes when more than `seq` changes.
    auto const content = spec.substr(0, spec.find(",\"seq\""));
    if (content == mLastContent && mBorn == mLastBorn) {
      return;
    }
    if (gStore.Put("servers", Name(), spec)) {
      mLastContent = content;
      mLastBorn = mBorn;
      gRecord.Line("host " + Name() + " wrote " + spec);
    }
  }

  std::string Spec()
  {
    auto const left = std::max(0.0, mColdUntil - Now());
    return R"({"service":")" + mOptions.mService + R"(","address":")" +
           Text({ gNetwork.Ip(2, mOptions.mNumber), gNetwork.Host() }) +
           R"(","zone":")" + mOptions.mZone + R"(","version":"v1","slots":)" +
           std::to_string(kSlots) + R"(,"state":")" +
           (mDrainedAt > 0.0 ? "draining" : "ready") + R"(","coldLeftMs":)" +
           std::to_string(static_cast<int>(left * 1000.0)) + R"(,"seq":)" +
           std::to_string(++mBeats) + R"(,"born":)" + std::to_string(mBorn) +
           "}";
  }

  void Handle(Packet const& aPacket, std::uint32_t aVm)
  {
    auto const key = std::pair(aPacket.mSource, aPacket.mDestination);
    auto const found = mFlows.find(key);
    Packet answer;
    answer.mSource = aPacket.mDestination;
    answer.mDestination = aPacket.mSource;
    answer.mEcho = aPacket.mEcho;
    answer.mFlags = kAck;
    auto const reply = [&] {
      SendTo(
        mSocket, { aPacket.mSource.mIp, gNetwork.mPackets }, answer.Write());
    };
    if ((aPacket.mFlags & kSyn) != 0) {
      bool const isNew =
        found == mFlows.end() || found->second.mClientSeq != aPacket.mSeq;
      if (isNew && mIsFull) {
        return; // A full host sends nothing.
      }
      auto& flow = mFlows[key];
      if (isNew) {
        auto const seq = static_cast<std::uint32_t>(mRandom());
        flow = { aPacket.mSeq,     seq,   seq + 1,
                 aPacket.mSeq + 1, false, mOpenings.size() };
        mOpenings.push_back(
          { Now(), aPacket.mSource, aPacket.mDestination, aVm, false });
      }
      answer.mFlags = kSyn | kAck;
      answer.mSeq = flow.mSeq;
      answer.mAck = flow.mExpected;
      reply();
      return;
    }
    bool const isKnown =
      found != mFlows.end() &&
      (found->second.mIsOpen || aPacket.mAck == found->second.mSeq + 1);
    if (!isKnown) {
      if ((aPacket.mFlags & kRst) == 0) {
        mStrays.push_back(
          { Now(), aPacket.mSource, aPacket.mDestination, aVm, false });
        answer.mFlags = kRst;
        answer.mSeq = aPacket.mAck;
        reply();
      }
      return;
    }
    auto& flow = found->second;
    if (!flow.mIsOpen) {
      flow.mIsOpen = true;
      mOpenings[flow.mOpening].mHasOpened = true;
    }
    if ((aPacket.mFlags & kRst) != 0) {
      mFlows.erase(found);
      return;
    }
    constexpr std::uint16_t kAnswerBytes = 200;
    if (aPacket.mLen > 0) {
      bool const isNew = aPacket.mSeq == flow.mExpected;
      flow.mExpected += isNew ? aPacket.mLen : 0;
      flow.mNext += isNew ? kAnswerBytes : 0;
      answer.mSeq = flow.mNext - kAnswerBytes;
      answer.mAck = flow.mExpected;
      answer.mLen = kAnswerBytes;
      reply();
    } else if ((aPacket.mFlags & kFin) != 0) {
      answer.mFlags = kFin | kAck;
      answer.mSeq = flow.mNext;
      answer.mAck = aPacket.mSeq + 1;
      reply();
    }
  }

  HostOptions mOptions;
  int mSocket = -1;
  int mListener = -1;
  long long mBorn = 0;
  long long mLastBorn = 0;
  std::uint64_t mBeats = 0;
  std::string mLastContent;
  double mNextBeat = 0.0;
  double mColdUntil = 0.0;
  double mDrainedAt = 0.0;
  bool mIsFull = false;
  std::vector<std::pair<double, double>> mColdSpans;
  std::map<std::pair<Address, Address>, Flow> mFlows;
  std::vector<Opening> mOpenings;
  std::vector<Opening> mStrays;
  std::uint64_t mForged = 0;
  std::mt19937 mRandom{ std::random_device{}() };
};

/// All hosts, polled by one thread.
class Hosts
{
public:
  Host& Add(HostOptions aOptions)
  {
    std::lock_guard const lock(mMutex);
    return *mHosts.emplace_back(std::make_unique<Host>(std::move(aOptions)));
  }
  void Start()
  {
    mThread = std::thread([this] {
      while (!mStop) {
        {
          std::lock_guard const lock(mMutex);
          for (auto& host : mHosts) {
            host->Poll();
          }
        }
        std::this_thread::sleep_for(std::chrono::microseconds(300));
      }
    });
  }
  void Stop()
  {
    mStop = true;
    mThread.join();
  }
  /// Runs a change while no host handles packets.
  void Change(std::function<void()> const& aChange)
  {
    std::lock_guard const lock(mMutex);
    aChange();
  }
  std::vector<std::unique_ptr<Host>> const& All() const { return mHosts; }

private:
  std::mutex mMutex;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::thread mThread;
  std::atomic<bool> mStop{ false };
};

static Hosts gHosts;

// ------------------------------------------------------------------ entry VMs

struct Vm
{
  std::string mName;
  std::string mZone;
  unsigned mNumber = 0;
  pid_t mPid = 0;
  bool mIsRemoved = false;
  std::vector<double> mStarts;
  int mMisses = 2; ///< Readiness checks in succession without 200.
  std::uint32_t Ip() const { return gNetwork.Ip(1, mNumber); }
};

struct Deployment
{
  std::string mProgram;
  std::string mDirectory;
  std::vector<std::string> mZones;
  std::vector<unsigned> mSeeds; ///< Numbers of VMs.
  std::vector<Vm> mVms;
  std::mutex mMutex; ///< Guards the readiness and the list of VMs.
};

static Deployment gDeployment;

static void
StartVm(Vm& aVm, bool aIsFirstStart)
{
  auto const file = gDeployment.mDirectory + "/" + aVm.mName + ".toml";
  std::ofstream settings(file);
  auto const ip = IpText(aVm.Ip());
  auto const quoted = [](std::string const& aText) {
    return "\"" + aText + "\"";
  };
  settings << "nodeName = " << quoted(aVm.mName)
           << "\nrole = \"entry\"\nmachineClass = \"front\"\nserves = "
              "[\"front\",\"control\"]\nip = "
           << quoted(ip) << "\nzone = " << quoted(aVm.mZone)
           << "\nregion = \"r\"\ninternalPortRange = [" << gNetwork.Internal()
           << "," << gNetwork.Internal() + 15 << "]\nseeds = [";
  for (std::size_t index = 0; index < gDeployment.mSeeds.size(); ++index) {
    settings << (index > 0 ? "," : "")
             << quoted(Text({ gNetwork.Ip(1, gDeployment.mSeeds[index]),
                              gNetwork.Control() }));
  }
  settings << "]\nbootstrap = " << (aIsFirstStart ? "true" : "false")
           << "\ncountLoss = false\ndiscovery = \"platform\"\nentry = "
              "\"announce\"\nheartbeatIntervalMs = "
           << static_cast<int>(kHeartbeat * 1000.0)
           << "\nhash = \"mod\"\nproxyMode = \"echo\"\n[zones]\n";
  for (auto const& zone : gDeployment.mZones) {
    settings << zone << " = \"r\"\n";
  }
  settings
    << "[listen]\npacketAddr = "
    << quoted(Text({ aVm.Ip(), gNetwork.mPackets }))
    << "\nready = " << quoted(Text({ aVm.Ip(), gNetwork.Ready() }))
    << "\ncontrol = " << quoted(Text({ aVm.Ip(), gNetwork.Control() }))
    << "\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = "
       "4100\nlinkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines "
       "= 2\nzones = 1\nregions = 0\n[bounds]\nseedLagS = "
       "3\nreuseAfterS = 2\nstabilityWindowMs = 4000\nackMs = "
       "5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = "
       "200\nconfigPropagationMs = 3000\nrollbackSlackMs = "
       "250\nmaxStretchMs = 12000\nwarmupBurstFactor = 1.5\ncoldSlack = "
       "5\nevacuationDelayMs = 5000\nrecoveryS = 12\nflowSlackMs = "
       "2000\nmaxFlowS = 60\n[platform]\naddress = "
    << quoted(Text({ gNetwork.Ip(3, aVm.mNumber), gNetwork.Store() }))
    << "\nproxyMode = \"objects\"\nwriteRateS = 400\nreadRateS = "
       "2000\nhistoryS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000\n";
  settings.close();
  auto const log = gDeployment.mDirectory + "/" + aVm.mName + ".log";
  std::string const variable = "TARRAGONSILL_SETTINGS=" + file;
  std::string const path = "PATH=/usr/bin:/bin";
  std::string port = "9464";
  gRecord.Line("platform starts " + aVm.mName + " at " + ip);
  aVm.mStarts.push_back(Now());
  aVm.mPid = ::fork();
  if (aVm.mPid == 0) {
    // The VM ends with this program, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    std::string node = "node";
    std::string option = "--metrics-port";
    char* const arguments[] = { gDeployment.mProgram.data(),
                                node.data(),
                                option.data(),
                                port.data(),
                                nullptr };
    char* const environment[] = { const_cast<char*>(variable.c_str()),
                                  const_cast<char*>(path.c_str()),
                                  nullptr };
    ::execve(gDeployment.mProgram.c_str(), arguments, environment);
    ::_exit(127);
  }
}

static void
KillVm(Vm& aVm)
{
  if (aVm.mPid > 0) {
    gRecord.Line("platform kills " + aVm.mName);
    ::kill(aVm.mPid, SIGKILL);
    ::waitpid(aVm.mPid, nullptr, 0);
    aVm.mPid = 0;
  }
}

/// SIGTERM, then SIGKILL after the grace time.
static void
TerminateVm(Vm& aVm)
{
  gRecord.Line("platform sends SIGTERM to " + aVm.mName);
  ::kill(aVm.mPid, SIGTERM);
  auto const deadline = Now() + 6.0;
  while (Now() < deadline) {
    if (::waitpid(aVm.mPid, nullptr, WNOHANG) == aVm.mPid) {
      aVm.mPid = 0;
      gRecord.Line(aVm.mName + " has ended");
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  KillVm(aVm);
}

// -------------------------------------------------------------------- routers

static bool
AnswersReady(Vm const& aVm)
{
  int const connection =
    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto const address = ToSocketAddress({ aVm.Ip(), gNetwork.Ready() });
  (void)::connect(
    connection, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
  pollfd entry{ connection, POLLOUT, 0 };
  int error = 0;
  socklen_t size = sizeof(error);
  bool isReady = false;
  if (::poll(&entry, 1, 200) > 0 &&
      ::getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
      error == 0) {
    std::string const request =
      "GET /readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
    (void)::send(connection, request.data(), request.size(), MSG_NOSIGNAL);
    entry.events = POLLIN;
    char buffer[64] = {};
    isReady = ::poll(&entry, 1, 300) > 0 &&
              ::recv(connection, buffer, sizeof(buffer) - 1, 0) > 12 &&
              std::string(buffer).find(" 200") != std::string::npos;
  }
  ::close(connection);
  return isReady;
}

/// Asks each VM twice a second whether it is ready.
class Routers
{
public:
  void Start()
  {
    mThread = std::thread([this] {
      while (!mStop) {
        auto const next = Now() + 0.5;
        ++mRounds;
        for (std::size_t index = 0; index < Count() && !mStop; ++index) {
          auto const vm = Copy(index);
          bool const isReady = vm.mPid > 0 && AnswersReady(vm);
          std::lock_guard const lock(gDeployment.mMutex);
          auto& misses = gDeployment.mVms[index].mMisses;
          misses = isReady ? 0 : misses + 1;
        }
        SleepUntil(next);
      }
    });
  }
  void Stop()
  {
    mStop = true;
    mThread.join();
  }

  /// The number of rounds of readiness checks that have begun.
  int Rounds() const { return mRounds; }

  /// The VM for a packet of a client in a zone.
  static std::uint32_t Choose(std::string const& aZone, std::uint64_t aHash)
  {
    std::lock_guard const lock(gDeployment.mMutex);
    std::vector<std::uint32_t> all;
    std::vector<std::uint32_t> ready;
    std::vector<std::uint32_t> elsewhere;
    for (auto const& vm : gDeployment.mVms) {
      if (vm.mIsRemoved) {
        continue;
      }
      bool const isReady = vm.mMisses < 2;
      if (vm.mZone != aZone) {
        if (isReady) {
          elsewhere.push_back(vm.Ip());
        }
        continue;
      }
      all.push_back(vm.Ip());
      if (isReady) {
        ready.push_back(vm.Ip());
      }
    }
    auto const& used = ready.empty()                   ? elsewhere
                       : 2 * ready.size() < all.size() ? all
                                                       : ready;
    return used.empty() ? 0 : used[aHash % used.size()];
  }

private:
  static std::size_t Count()
  {
    std::lock_guard const lock(gDeployment.mMutex);
    return gDeployment.mVms.size();
  }
  static Vm Copy(std::size_t aIndex)
  {
    std::lock_guard const lock(gDeployment.mMutex);
    return gDeployment.mVms[aIndex];
  }

  std::thread mThread;
  std::atomic<bool> mStop{ false };
  std::atomic<int> mRounds{ 0 };
};

static Routers gRouters;

// -------------------------------------------------------------------- clients

/// The clients of one zone. Each request has a flow of its own, besides those
/// of `aLongFlows` flows that stay open for many requests.
class Clients
{
public:
  Clients(std::string aZone,
          unsigned aNumber,
          double aPerSecond,
          Address aRoute,
          int aLongFlows = 0,
          double aPause = 0.0)
    : mZone(std::move(aZone))
    , mAddress{ gNetwork.Ip(4, aNumber), gNetwork.mPackets }
    , mPerSecond(aPerSecond)
    , mLongFlows(aLongFlows)
    , mPause(aPause)
    , mRoute(aRoute)
  {
  }

  bool Start()
  {
    mSocket = BindSocket(SOCK_DGRAM, mAddress);
    if (mSocket < 0) {
      return false;
    }
    mThread = std::thread([this] { Run(); });
    return true;
  }
  void Stop()
  {
    mStop = true;
    mThread.join();
  }

  /// When the client sent the copy of the opening packet that arrived then.
  double SentAt(std::uint16_t aPort, double aArrived) const
  {
    auto const found = mFlows.find(aPort);
    double sent = aArrived;
    if (found != mFlows.end()) {
      for (auto const at : found->second.mSynTimes) {
        sent = at <= aArrived ? at : sent;
      }
    }
    return sent;
  }
  std::uint32_t Ip() const { return mAddress.mIp; }
  /// An open flow that was reset.
  struct ResetFlow
  {
    Address mClient;
    std::string mHost;
    std::string mResetBy;
    double mAt = 0.0;
  };
  std::vector<ResetFlow> ResetFlows() const
  {
    std::vector<ResetFlow> resets;
    for (auto const& [port, flow] : mFlows) {
      if (!flow.mResetBy.empty()) {
        resets.push_back(
          { { mAddress.mIp, port }, flow.mHost, flow.mResetBy, flow.mResetAt });
      }
    }
    return resets;
  }
  /// Requests sent in a span of time, and how many of them were answered.
  std::pair<int, int> Answered(double aFrom, double aTo) const
  {
    int sent = 0;
    int answered = 0;
    for (auto const& [port, flow] : mFlows) {
      if (flow.mBegan >= aFrom && flow.mBegan < aTo) {
        ++sent;
        answered += flow.mIsAnswered ? 1 : 0;
      }
    }
    return { sent, answered };
  }
  void WriteRecord() const
  {
    for (auto const& [port, flow] : mFlows) {
      gRecord.Line("client " + Text({ mAddress.mIp, port }) + " in " + mZone +
                     " sent a request, " +
                     (flow.mIsAnswered ? "answered by " + flow.mHost
                      : flow.mWasReset ? "reset"
                                       : "not answered"),
                   flow.mBegan);
    }
  }

private:
  enum class Stage
  {
    Opening,
    Requesting,
    Closing,
    Ended,
  };
  struct Flow
  {
    std::uint16_t mPort = 0;
    Stage mStage = Stage::Opening;
    double mBegan = 0.0;
    double mNextSend = 0.0;
    int mSends = 0;
    std::uint32_t mSeq = 0;
    std::uint32_t mAck = 0;
    std::uint32_t mEcho = 0;
    std::vector<double> mSynTimes;
    bool mIsLong = false;
    bool mIsAnswered = false;
    bool mWasReset = false;
    double mAnsweredAt = 0.0;
    std::string mHost;
    std::string mResetBy; ///< Who sent a reset of the open flow.
    double mResetAt = 0.0;
  };

  static constexpr std::uint16_t kRequestBytes = 100;

  void Run()
  {
    double next = Now();
    for (int index = 0; index < mLongFlows; ++index) {
      Open(Now()).mIsLong = true;
    }
    while (!mStop) {
      auto const now = Now();
      for (; mPerSecond > 0.0 && next <= now; next += 1.0 / mPerSecond) {
        Open(now).mIsLong = mPause > 0.0;
      }
      for (auto const port : mActive) {
        auto& flow = mFlows[port];
        if (flow.mStage != Stage::Ended && now >= flow.mNextSend) {
          Send(flow);
        }
      }
      std::erase_if(mActive, [&](auto aPort) {
        return mFlows[aPort].mStage == Stage::Ended;
      });
      pollfd entry{ mSocket, POLLIN, 0 };
      (void)::poll(&entry, 1, 1);
      unsigned char bytes[2048];
      sockaddr_in from{};
      socklen_t size = sizeof(from);
      for (auto count = ::recvfrom(mSocket,
                                   bytes,
                                   sizeof(bytes),
                                   0,
                                   reinterpret_cast<sockaddr*>(&from),
                                   &size);
           count >= static_cast<ssize_t>(kHead);
           count = ::recvfrom(mSocket,
                              bytes,
                              sizeof(bytes),
                              0,
                              reinterpret_cast<sockaddr*>(&from),
                              &size)) {
        Handle(Packet::Read(bytes), ntohl(from.sin_addr.s_addr));
      }
    }
  }

  Flow& Open(double aNow)
  {
    auto const port = mNextPort++;
    auto& flow = mFlows[port];
    flow.mPort = port;
    flow.mBegan = aNow;
    flow.mSeq = static_cast<std::uint32_t>(mRandom());
    Send(flow);
    mActive.push_back(port);
    return flow;
  }

  void Send(Flow& aFlow)
  {
    Packet packet;
    packet.mSource = { mAddress.mIp, aFlow.mPort };
    packet.mDestination = mRoute;
    packet.mEcho = aFlow.mEcho;
    packet.mSeq = aFlow.mSeq;
    auto const now = Now();
    switch (aFlow.mStage) {
      case Stage::Opening: {
        // Copies after 200 and 600 ms; the attempt ends after 1.4 s.
        static constexpr std::array<double, 3> kWaits{ 0.2, 0.4, 0.8 };
        if (aFlow.mSends >= 3) {
          aFlow.mStage = Stage::Ended;
          return;
        }
        packet.mFlags = kSyn;
        packet.mAck = static_cast<std::uint32_t>(aFlow.mSends);
        aFlow.mNextSend = now + kWaits[static_cast<std::size_t>(aFlow.mSends)];
        aFlow.mSynTimes.push_back(now);
        break;
      }
      case Stage::Requesting:
        packet.mFlags = kAck;
        packet.mAck = aFlow.mAck;
        packet.mLen = kRequestBytes;
        aFlow.mNextSend = now + std::min(1.6, 0.2 * (1 << aFlow.mSends));
        break;
      case Stage::Closing:
        packet.mFlags = kFin | kAck;
        packet.mAck = aFlow.mAck;
        aFlow.mNextSend = now + std::min(1.6, 0.2 * (1 << aFlow.mSends));
        break;
      case Stage::Ended:
        return;
    }
    if (++aFlow.mSends > 6) {
      aFlow.mStage = Stage::Ended;
      return;
    }
    auto const hash =
      (std::uint64_t{ packet.mSource.mIp } * 31 + packet.mSource.mPort) *
      0x9E3779B97F4A7C15ULL;
    auto const vm = Routers::Choose(mZone, hash >> 32U);
    if (vm != 0) {
      SendTo(mSocket, { vm, gNetwork.mPackets }, packet.Write());
    }
  }

  void Handle(Packet const& aPacket, std::uint32_t aFrom)
  {
    auto const found = mFlows.find(aPacket.mDestination.mPort);
    if (found == mFlows.end() || found->second.mStage == Stage::Ended) {
      return;
    }
    auto& flow = found->second;
    if ((aPacket.mFlags & kRst) != 0) {
      flow.mWasReset = !flow.mIsAnswered || flow.mIsLong;
      if (flow.mIsAnswered && flow.mStage == Stage::Requesting) {
        flow.mResetBy = IpText(aFrom);
        flow.mResetAt = Now();
      }
      flow.mStage = Stage::Ended;
      return;
    }
    flow.mEcho = aPacket.mEcho;
    if (flow.mStage == Stage::Opening && aPacket.mFlags == (kSyn | kAck)) {
      flow.mStage = Stage::Requesting;
      flow.mSeq += 1;
      flow.mAck = aPacket.mSeq + 1;
      flow.mSends = 0;
      Send(flow);
    } else if (flow.mIsLong && flow.mStage == Stage::Requesting &&
               aPacket.mLen > 0 && aPacket.mSeq == flow.mAck) {
      flow.mIsAnswered = true;
      flow.mAnsweredAt = Now();
      flow.mHost = IpText(aFrom);
      flow.mSeq += kRequestBytes;
      flow.mAck = aPacket.mSeq + aPacket.mLen;
      flow.mSends = 0;
      // The next request.
      flow.mNextSend = Now() + std::max(mPause, 0.02);
    } else if (!flow.mIsLong && flow.mStage == Stage::Requesting &&
               aPacket.mLen > 0) {
      flow.mIsAnswered = true;
      flow.mAnsweredAt = Now();
      flow.mHost = IpText(aFrom);
      flow.mStage = Stage::Closing;
      flow.mSeq += kRequestBytes;
      flow.mAck = aPacket.mSeq + aPacket.mLen;
      flow.mSends = 0;
      Send(flow);
    } else if (flow.mStage == Stage::Closing && (aPacket.mFlags & kFin) != 0) {
      flow.mStage = Stage::Ended;
    }
  }

  std::string mZone;
  Address mAddress;
  double mPerSecond;
  int mLongFlows;
  double mPause; ///< Between the requests of a flow; 0: one request a flow.
  Address mRoute;
  int mSocket = -1;
  std::uint16_t mNextPort = 1025;
  std::map<std::uint16_t, Flow> mFlows;
  std::vector<std::uint16_t> mActive;
  std::thread mThread;
  std::atomic<bool> mStop{ false };
  std::mt19937 mRandom{ std::random_device{}() };
};

static std::vector<std::unique_ptr<Clients>> gClients;

// ---------------------------------------------------------------- the checking

constexpr double kColdRate = 4.0;
constexpr double kBurstFactor = 1.5;
constexpr double kColdSlack = 5.0;
constexpr double kColdLimit = kColdRate * kBurstFactor + kColdSlack;

/// Returns whether FAILBACK held for all hosts.
static bool
CheckColdHosts()
{
  bool isKept = true;
  for (auto const& host : gHosts.All()) {
    for (auto const& [from, to] : host->ColdSpans()) {
      struct Taken
      {
        double mSent;
        double mArrived;
        std::uint32_t mVm;
      };
      std::vector<Taken> taken;
      for (auto const& opening : host->Openings()) {
        bool const isCold = opening.mArrived >= from && opening.mArrived < to;
        if (!isCold || !opening.mHasOpened) {
          continue;
        }
        double sent = opening.mArrived;
        for (auto const& clients : gClients) {
          if (clients->Ip() == opening.mClient.mIp) {
            sent = clients->SentAt(opening.mClient.mPort, opening.mArrived);
          }
        }
        taken.push_back({ sent, opening.mArrived, opening.mVm });
      }
      std::size_t most = 0;
      double at = from;
      std::map<std::uint32_t, int> byVm;
      for (auto const& first : taken) {
        std::map<std::uint32_t, int> counts;
        std::size_t count = 0;
        for (auto const& other : taken) {
          if (other.mSent >= first.mSent &&
              other.mArrived < first.mSent + 1.0) {
            ++count;
            ++counts[other.mVm];
          }
        }
        if (count > most) {
          most = count;
          at = first.mSent;
          byVm = counts;
        }
      }
      std::ostringstream text;
      text << "host " << host->Name() << " (zone " << host->Options().mZone
           << "), cold from " << from << " to " << to << " s: at most " << most
           << " flows in one second, limit " << kColdLimit;
      if (most > 0) {
        text << "; that second began at " << at << " s, by VM:";
        for (auto const& [vm, count] : byVm) {
          text << ' ' << IpText(vm) << '=' << count;
        }
      }
      bool const isBroken = static_cast<double>(most) > kColdLimit;
      gRecord.Summary(text.str() + (isBroken ? "  BROKEN" : ""));
      isKept = isKept && !isBroken;
    }
  }
  return isKept;
}

// ------------------------------------------------------------------- scenarios

static bool gHasTrouble = true;

static Vm&
AddVm(std::string const& aZone)
{
  std::lock_guard const lock(gDeployment.mMutex);
  auto& vms = gDeployment.mVms;
  Vm vm;
  vm.mZone = aZone;
  vm.mNumber = static_cast<unsigned>(vms.size()) + 1;
  vm.mName = "front-" + aZone + "-" + std::to_string(vm.mNumber);
  vms.push_back(vm);
  return vms.back();
}

static HostOptions
MakeHost(unsigned aNumber, std::string const& aZone)
{
  return { 0x5840f90000ULL + 0x1a3ULL * aNumber, aNumber, "shop", aZone, 0.0 };
}

static void
WriteConfiguration(int aVersion = 2, std::string const& aService = "shop")
{
  auto const service = [](std::string const& aName) {
    std::ostringstream text;
    text << R"({"name":")" << aName
         << R"(","healthPath":"/health","maxConns":2000,"protocol":"h1",)"
         << R"("tls":false,"coldS":2.0,"coldRateS":)" << kColdRate << "}";
    return text.str();
  };
  auto const route = [](std::string const& aName,
                        std::string const& aHost,
                        std::string const& aRouteService) {
    return R"({"name":")" + aName + R"(","host":")" + aHost +
           R"(","pathPrefix":"/8443/","type":"safe","timeoutMs":4000,)" +
           R"("latencyTargetMs":250,"priority":1,"service":")" + aRouteService +
           R"(","maxAttempts":2})";
  };
  std::ostringstream spec;
  spec << R"({"version":)" << aVersion << R"(,"routes":[)"
       << route("r-1", "198.18.0.1", aService) << ","
       << route("r-2", "198.18.0.2", "shop") << R"(],"services":[)"
       << service("shop") << "," << service("annex")
       << R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
       << R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
  gStore.Put("config", "main", spec.str());
}

static Address
Route(unsigned aNumber = 1)
{
  return { (198U << 24U) | (18U << 16U) | aNumber, 8443 };
}

/// Starts hosts, VMs and clients, and waits until all VMs are ready.
static bool
StartAll(std::vector<std::pair<std::string, double>> const& aTraffic)
{
  WriteConfiguration();
  for (auto const& host : gHosts.All()) {
    if (!host->Start(false)) {
      return false;
    }
  }
  gHosts.Start();
  SleepUntil(Now() + 0.3);
  for (auto& vm : gDeployment.mVms) {
    StartVm(vm, true);
  }
  gRouters.Start();
  auto const deadline = Now() + 15.0;
  while (Now() < deadline) {
    {
      std::lock_guard const lock(gDeployment.mMutex);
      bool const isReady =
        std::all_of(gDeployment.mVms.begin(),
                    gDeployment.mVms.end(),
                    [](auto const& aVm) { return aVm.mMisses == 0; });
      if (isReady) {
        break;
      }
    }
    SleepUntil(Now() + 0.1);
  }
  unsigned number = 1;
  for (auto const& [zone, perSecond] : aTraffic) {
    gClients.push_back(
      std::make_unique<Clients>(zone, number++, perSecond, Route()));
    if (!gClients.back()->Start()) {
      return false;
    }
  }
  return Now() < deadline;
}

static Vm&
VmOf(std::size_t aIndex)
{
  return gDeployment.mVms[aIndex];
}

/// A VM process is killed as an evacuated zone is taken back, and starts again.
static bool
RestartAtReturn(std::function<void()> const& aBeginTrouble)
{
  gDeployment.mZones = { "a", "b" };
  for (auto const* zone : { "a", "a", "b", "b" }) {
    AddVm(zone);
  }
  gDeployment.mSeeds = { 1, 2, 3 };
  for (unsigned number = 1; number <= 6; ++number) {
    auto options = MakeHost(number, number <= 3 ? "a" : "b");
    options.mHeartbeatPhase = 0.35 * (number - 1);
    gHosts.Add(options);
  }
  if (!StartAll({ { "a", 120.0 }, { "b", 60.0 } })) {
    return false;
  }
  SleepUntil(Now() + 5.0);
  aBeginTrouble();
  gStore.Put("evacuations", "a", "{}");
  gRecord.Line("operator evacuates zone a");
  SleepUntil(Now() + 6.0);
  // Begins when the last of the zone's hosts has just written.
  for (double beat = 0.0; beat < Now() + kHeartbeat - 0.05;) {
    SleepUntil(Now() + 0.005);
    gHosts.Change([&] { beat = gHosts.All()[2]->NextBeat(); });
  }
  if (gHasTrouble) {
    KillVm(VmOf(0));
  }
  SleepUntil(Now() + 0.2);
  // The zone's hosts become cold shortly before it is taken back. Each writes
  // that with its next heartbeat.
  gHosts.Change([] {
    for (auto const& host : gHosts.All()) {
      if (host->Options().mZone == "a") {
        host->BecomeCold();
      }
    }
  });
  SleepUntil(Now() + 0.05);
  gStore.Remove("evacuations", "a");
  gRecord.Line("operator takes zone a back");
  if (gHasTrouble) {
    StartVm(VmOf(0), false);
  }
  SleepUntil(Now() + 4.0);
  return true;
}

/// The machines that the seeds name are removed for good; later all processes
/// are killed at once and start again. Then a cold host is added.
static bool
StaleSeeds(std::function<void()> const& aBeginTrouble)
{
  gDeployment.mZones = { "a", "b" };
  for (auto const* zone : { "a", "b", "b", "a", "a", "a", "b" }) {
    AddVm(zone);
  }
  gDeployment.mSeeds = { 1, 2, 3 };
  for (unsigned number = 1; number <= 4; ++number) {
    gHosts.Add(MakeHost(number, number <= 2 ? "a" : "b"));
  }
  if (!StartAll({ { "a", 120.0 }, { "b", 40.0 } })) {
    return false;
  }
  SleepUntil(Now() + 5.0);
  aBeginTrouble();
  if (gHasTrouble) {
    for (std::size_t index = 0; index < 3; ++index) {
      TerminateVm(VmOf(index));
      std::lock_guard const lock(gDeployment.mMutex);
      VmOf(index).mIsRemoved = true;
      gRecord.Line(VmOf(index).mName + " is removed for good");
    }
    SleepUntil(Now() + 8.0);
  }
  for (std::size_t index = gHasTrouble ? 3 : 0; index < 7; ++index) {
    KillVm(VmOf(index));
  }
  SleepUntil(Now() + 0.5);
  for (std::size_t index = gHasTrouble ? 3 : 0; index < 7; ++index) {
    StartVm(VmOf(index), false);
  }
  SleepUntil(Now() + 8.0);
  auto& added = gHosts.Add(MakeHost(9, "a"));
  gHosts.Change([&] { (void)added.Start(true); });
  SleepUntil(Now() + 4.0);
  return true;
}

/// A service has hosts in two of three zones. One of these is evacuated, and
/// a cold host is added in the other.
static bool
ThreeZonesAdmit(std::function<void()> const& aBeginTrouble)
{
  gDeployment.mZones = { "a", "b", "c" };
  for (auto const* zone : { "a", "b", "c", "a", "b", "c" }) {
    AddVm(zone);
  }
  gDeployment.mSeeds = { 1, 2, 3 };
  for (unsigned number = 1; number <= 4; ++number) {
    gHosts.Add(MakeHost(number, number <= 3 ? "a" : "b"));
  }
  if (!StartAll({ { "a", 50.0 }, { "b", 50.0 }, { "c", 50.0 } })) {
    return false;
  }
  SleepUntil(Now() + 5.0);
  aBeginTrouble();
  if (gHasTrouble) {
    gStore.Put("evacuations", "b", "{}");
    gRecord.Line("operator evacuates zone b");
  }
  SleepUntil(Now() + 5.0);
  for (unsigned number = 9; number <= 10; ++number) {
    auto& added = gHosts.Add(MakeHost(number, "a"));
    gHosts.Change([&] { (void)added.Start(true); });
    SleepUntil(Now() + 4.0);
  }
  return true;
}

/// A host crashes and starts again under its id while the store is down.
static bool
RestartInOutage(std::function<void()> const& aBeginTrouble)
{
  gDeployment.mZones = { "a", "b" };
  for (auto const* zone : { "a", "a", "b", "b" }) {
    AddVm(zone);
  }
  gDeployment.mSeeds = { 1, 2, 3 };
  for (unsigned number = 1; number <= 6; ++number) {
    gHosts.Add(MakeHost(number, number <= 3 ? "a" : "b"));
  }
  if (!StartAll({ { "a", 120.0 }, { "b", 60.0 } })) {
    return false;
  }
  SleepUntil(Now() + 5.0);
  aBeginTrouble();
  auto const outage = Now();
  if (gHasTrouble) {
    gStore.SetDown(true);
    gRecord.Line("the store is down, it answers 503");
  }
  SleepUntil(outage + 0.3);
  auto& host = *gHosts.All()[0];
  gHosts.Change([&] { host.Crash(); });
  SleepUntil(outage + 1.3);
  gHosts.Change([&] { (void)host.Start(true); });
  gRecord.Line("host " + host.Name() + " starts again under its id");
  SleepUntil(outage + 4.5);
  gStore.SetDown(false);
  gRecord.Line("the store is up");
  SleepUntil(Now() + 2.0);
  return true;
}

/// The operator moves a route to another service while the hosts of the old
/// one are full for a moment.
static bool
CopyAfterChange(std::function<void()> const& aBeginTrouble)
{
  gDeployment.mZones = { "a", "b" };
  for (auto const* zone : { "a", "a", "b", "b" }) {
    AddVm(zone);
  }
  gDeployment.mSeeds = { 1, 2, 3 };
  for (unsigned number = 1; number <= 4; ++number) {
    auto options = MakeHost(number, "a");
    options.mService = number <= 2 ? "shop" : "annex";
    gHosts.Add(options);
  }
  if (!StartAll({ { "a", 100.0 }, { "b", 20.0 } })) {
    return false;
  }
  // Flows of another route that stay on the old service.
  gClients.push_back(std::make_unique<Clients>("a", 9, 0.0, Route(2), 80));
  if (!gClients.back()->Start()) {
    return false;
  }
  SleepUntil(Now() + 5.0);
  aBeginTrouble();
  auto const begin = Now();
  auto const setFull = [](bool aIsFull) {
    gHosts.Change([&] {
      for (auto const& host : gHosts.All()) {
        if (host->Options().mService == "shop") {
          host->SetFull(aIsFull);
        }
      }
    });
  };
  if (gHasTrouble) {
    setFull(true);
  }
  SleepUntil(begin + 0.3);
  WriteConfiguration(5, "annex");
  gRecord.Line("operator moves route r-1 from shop to annex, version 5");
  SleepUntil(begin + 0.7);
  if (gHasTrouble) {
    setFull(false);
  }
  SleepUntil(Now() + 3.0);
  return true;
}

/// Returns whether no VM regressed: no request that was sent more than
/// rollbackSlackMs after a host saw the effect of version 5 through that VM was
/// taken by a host of the old service.
static bool
CheckRegress()
{
  constexpr double kRollbackSlack = 0.25;
  std::map<std::uint32_t, double> effects;
  for (auto const& host : gHosts.All()) {
    for (auto const& opening : host->Openings()) {
      bool const isEffect =
        host->Options().mService == "annex" && opening.mRoute == Route(1);
      if (isEffect) {
        auto& first =
          effects.try_emplace(opening.mVm, opening.mArrived).first->second;
        first = std::min(first, opening.mArrived);
      }
    }
  }
  int broken = 0;
  for (auto const& host : gHosts.All()) {
    for (auto const& opening : host->Openings()) {
      auto const effect = effects.find(opening.mVm);
      if (host->Options().mService != "shop" || !opening.mHasOpened ||
          opening.mRoute != Route(1) || effect == effects.end()) {
        continue;
      }
      double sent = opening.mArrived;
      for (auto const& clients : gClients) {
        if (clients->Ip() == opening.mClient.mIp) {
          sent = clients->SentAt(opening.mClient.mPort, opening.mArrived);
        }
      }
      if (sent <= effect->second + kRollbackSlack) {
        continue;
      }
      ++broken;
      std::ostringstream text;
      text << "VM " << IpText(opening.mVm) << ": a host saw version 5 at "
           << effect->second << " s; the request of " << Text(opening.mClient)
           << ", sent at " << sent << " s, was taken by host " << host->Name()
           << " of shop at " << opening.mArrived << " s  BROKEN";
      if (broken <= 5) {
        gRecord.Summary(text.str());
      }
    }
  }
  gRecord.Summary(std::to_string(broken) +
                  " requests were handled as only the older version allows");
  return broken == 0 && !effects.empty();
}

/// Starts a VM and returns the time until it is ready.
static double
MeasureStart(Vm& aVm)
{
  auto const begin = Now();
  StartVm(aVm, false);
  while (!AnswersReady(aVm) && Now() < begin + 5.0) {
    SleepUntil(Now() + 0.002);
  }
  return Now() - begin;
}

/// Hosts are replaced one after the other, and a VM is restarted as planned.
/// The store discards its history just after a host has reported that it
/// drains. Several rounds.
static bool
DrainBeforeCompaction(std::function<void()> const& aBeginTrouble)
{
  gDeployment.mZones = { "a", "b" };
  for (auto const* zone : { "a", "a", "a", "a", "b", "b" }) {
    AddVm(zone);
  }
  gDeployment.mSeeds = { 1, 2, 3 };
  for (unsigned number = 1; number <= 5; ++number) {
    gHosts.Add(MakeHost(number, number <= 3 ? "a" : "b"));
  }
  if (!StartAll({ { "a", 120.0 }, { "b", 20.0 } })) {
    return false;
  }
  SleepUntil(Now() + 6.0);
  aBeginTrouble();
  // Two VMs of a zone watch the store. Of the others, the last one restarts.
  std::vector<unsigned> watching;
  Vm* starter = nullptr;
  for (std::size_t index = 0; index < 4; ++index) {
    auto& vm = VmOf(index);
    if (Now() - gStore.CallsOf(vm.mNumber).mLastCall < 2.5) {
      watching.push_back(vm.mNumber);
    } else {
      starter = &vm;
    }
  }
  if (starter == nullptr) {
    gRecord.Summary("all VMs of the zone watch the store");
    return false;
  }
  TerminateVm(*starter);
  SleepUntil(Now() + 1.0);
  auto const startTime = MeasureStart(*starter);
  SleepUntil(Now() + 4.0);
  unsigned number = 20;
  auto const addHost = [&] {
    auto& added = gHosts.Add(MakeHost(number++, "a"));
    gHosts.Change([&] { (void)added.Start(false); });
  };
  for (int round = 0; round < 9; ++round) {
    TerminateVm(*starter);
    SleepUntil(Now() + 0.2);
    Host* leaving = nullptr;
    for (auto const& host : gHosts.All()) {
      if (host->Options().mZone == "a" && host->DrainedAt() == 0.0) {
        leaving = host.get();
      }
    }
    std::map<unsigned, Store::Calls> before;
    // The VM asks a peer for its state shortly before it is ready.
    auto const asksAt = Now() + std::max(0.35, startTime + 0.02);
    std::vector<std::pair<double, std::function<void()>>> events = {
      { asksAt - startTime, [&] { StartVm(*starter, false); } },
      { asksAt - 0.33, addHost },
      { asksAt - 0.27, [&] { gHosts.Change([&] { leaving->Drain(); }); } },
      { asksAt - 0.23,
        [&] {
          for (auto const vm : watching) {
            before[vm] = gStore.CallsOf(vm);
          }
          if (gHasTrouble) {
            gStore.DiscardHistory();
          }
        } },
      { asksAt - 0.1,
        [&] {
          // Until the VMs that watch have listed the hosts again.
          while (gHasTrouble && Now() < asksAt + 0.2 &&
                 !std::all_of(watching.begin(), watching.end(), [&](auto aVm) {
                   auto const calls = gStore.CallsOf(aVm);
                   return calls.mLists > before[aVm].mLists &&
                          calls.mWatches > before[aVm].mWatches + 1;
                 })) {
            SleepUntil(Now() + 0.001);
          }
          addHost();
        } },
    };
    std::stable_sort(
      events.begin(), events.end(), [](auto const& aLeft, auto const& aRight) {
        return aLeft.first < aRight.first;
      });
    for (auto const& [at, event] : events) {
      SleepUntil(at);
      event();
    }
    SleepUntil(Now() + 6.5);
    gHosts.Change([&] { leaving->Leave(); });
    SleepUntil(Now() + 0.5);
  }
  return true;
}

/// Returns whether no draining host took a flow later than drainMs after the
/// store's ack through a VM in touch.
static bool
CheckDrain()
{
  constexpr double kDrain = 3.0;
  constexpr double kStabilityWindow = 4.0;
  bool isKept = true;
  for (auto const& host : gHosts.All()) {
    if (host->DrainedAt() == 0.0) {
      continue;
    }
    std::map<std::uint32_t, int> late;
    double last = 0.0;
    for (auto const& opening : host->Openings()) {
      double sent = opening.mArrived;
      for (auto const& clients : gClients) {
        if (clients->Ip() == opening.mClient.mIp) {
          sent = clients->SentAt(opening.mClient.mPort, opening.mArrived);
        }
      }
      auto inTouchFrom = gStore.LastDiscardBefore(sent) + kStabilityWindow;
      for (auto const& vm : gDeployment.mVms) {
        if (vm.Ip() != opening.mVm) {
          continue;
        }
        for (auto const started : vm.mStarts) {
          inTouchFrom = started <= sent
                          ? std::max(inTouchFrom, started + kStabilityWindow)
                          : inTouchFrom;
        }
      }
      bool const isLate = opening.mHasOpened && sent > inTouchFrom &&
                          opening.mArrived > host->DrainedAt() + kDrain;
      if (isLate) {
        ++late[opening.mVm];
        last = opening.mArrived - host->DrainedAt();
      }
    }
    std::ostringstream text;
    text << "host " << host->Name() << ", drains since " << host->DrainedAt()
         << " s:";
    for (auto const& [vm, count] : late) {
      text << ' ' << count << " late flows from VM " << IpText(vm) << ',';
    }
    if (late.empty()) {
      text << " no late flow";
    } else {
      text << " the last " << last << " s after the ack  BROKEN";
    }
    gRecord.Summary(text.str());
    isKept = isKept && late.empty();
  }
  return isKept;
}

/// A killed process starts again, and its machine is suspended for a while
/// before it is ready.
static bool
SuspendAtStart(std::function<void()> const& aBeginTrouble)
{
  gDeployment.mZones = { "a", "b" };
  for (auto const* zone : { "a", "a", "a", "b", "b" }) {
    AddVm(zone);
  }
  gDeployment.mSeeds = { 1, 2, 4 };
  for (unsigned number = 1; number <= 8; ++number) {
    gHosts.Add(MakeHost(number, number <= 6 ? "a" : "b"));
  }
  if (!StartAll({ { "b", 20.0 } })) {
    return false;
  }
  gClients.push_back(std::make_unique<Clients>("a", 9, 120.0, Route(), 0, 7.0));
  if (!gClients.back()->Start()) {
    return false;
  }
  SleepUntil(Now() + 8.0);
  aBeginTrouble();
  auto& vm = VmOf(0);
  auto const round = gRouters.Rounds();
  while (gRouters.Rounds() == round) {
    SleepUntil(Now() + 0.005);
  }
  SleepUntil(Now() + 0.05);
  KillVm(vm);
  SleepUntil(Now() + 0.2);
  StartVm(vm, false);
  if (gHasTrouble) {
    // Until the process has bound its packet address.
    for (int probe = 0; probe >= 0;) {
      SleepUntil(Now() + 0.001);
      probe = BindSocket(SOCK_DGRAM, { vm.Ip(), gNetwork.mPackets });
      ::close(probe);
    }
    gRecord.Line("the machine of " + vm.mName + " is suspended");
    ::kill(vm.mPid, SIGSTOP);
    SleepUntil(Now() + 2.5);
    ::kill(vm.mPid, SIGCONT);
    gRecord.Line("the machine of " + vm.mName + " goes on");
  }
  vm.mStarts.push_back(Now());
  SleepUntil(Now() + 11.0);
  return true;
}

/// Returns whether no open flow was reset by another host than its own, or by a
/// VM, with all machines in touch.
static bool
CheckFlows()
{
  constexpr double kStabilityWindow = 4.0;
  int broken = 0;
  int excused = 0;
  for (auto const& clients : gClients) {
    for (auto const& reset : clients->ResetFlows()) {
      if (reset.mResetBy == reset.mHost) {
        continue;
      }
      // The VM that took the packet which the wrong host reset.
      std::uint32_t by = 0;
      for (auto const& host : gHosts.All()) {
        for (auto const& stray : host->Strays()) {
          by = stray.mClient == reset.mClient &&
                   host->IpAddress() == reset.mResetBy
                 ? stray.mVm
                 : by;
        }
      }
      bool isInTouch = true;
      for (auto const& vm : gDeployment.mVms) {
        for (auto const started : vm.mStarts) {
          bool const isRecent =
            started <= reset.mAt && reset.mAt < started + kStabilityWindow;
          isInTouch = isInTouch && !(vm.Ip() == by && isRecent);
        }
      }
      ++(isInTouch ? broken : excused);
      std::ostringstream text;
      text << "the open flow of " << Text(reset.mClient) << " at host "
           << reset.mHost << " was reset at " << reset.mAt << " s by "
           << reset.mResetBy << "; VM " << IpText(by) << " took the packet"
           << (isInTouch ? "  BROKEN" : ", not in touch");
      if (broken + excused <= 12) {
        gRecord.Summary(text.str());
      } else {
        gRecord.Line(text.str(), reset.mAt);
      }
    }
  }
  gRecord.Summary(std::to_string(broken) +
                  " open flows were reset though their host serves, through "
                  "machines in touch; " +
                  std::to_string(excused) + " through others");
  return broken == 0;
}

static int
RunScenario(std::string const& aScenario)
{
  if (!FindFreeNetwork() || !gStore.Start()) {
    gRecord.Summary("the case could not run: no free addresses");
    return 2;
  }
  // The deployment must serve before anything is disturbed.
  double disturbedAt = 0.0;
  auto const beginTrouble = [&] { disturbedAt = Now(); };
  std::map<std::string, std::function<bool()>> const scenarios = {
    { "restart-at-return", [&] { return RestartAtReturn(beginTrouble); } },
    { "stale-seeds", [&] { return StaleSeeds(beginTrouble); } },
    { "three-zones-admit", [&] { return ThreeZonesAdmit(beginTrouble); } },
    { "restart-in-outage", [&] { return RestartInOutage(beginTrouble); } },
    { "copy-after-change", [&] { return CopyAfterChange(beginTrouble); } },
    { "suspend-at-start", [&] { return SuspendAtStart(beginTrouble); } },
    { "drain-before-compaction",
      [&] { return DrainBeforeCompaction(beginTrouble); } },
  };
  bool const hasRun = scenarios.at(aScenario)();
  for (auto& clients : gClients) {
    clients->Stop();
  }
  gRouters.Stop();
  gHosts.Stop();
  for (auto& vm : gDeployment.mVms) {
    KillVm(vm);
  }
  gStore.Stop();
  int sent = 0;
  int answered = 0;
  for (auto const& clients : gClients) {
    auto const [before, answeredBefore] =
      clients->Answered(disturbedAt - 3.0, disturbedAt - 1.0);
    sent += before;
    answered += answeredBefore;
    clients->WriteRecord();
  }
  std::uint64_t forged = 0;
  for (auto const& host : gHosts.All()) {
    host->WriteRecord();
    forged += host->Forged();
  }
  gRecord.Summary("before the disruption " + std::to_string(answered) + " of " +
                  std::to_string(sent) + " requests were answered; " +
                  std::to_string(forged) + " packets were forged");
  if (!hasRun || sent == 0 || answered * 10 < sent * 9) {
    gRecord.Summary("the case could not run");
    return 2;
  }
  bool const isRegress = aScenario == "copy-after-change";
  bool const isDrain = aScenario == "drain-before-compaction";
  bool const isFlow = aScenario == "suspend-at-start";
  bool const isKept = isRegress ? CheckRegress()
                      : isFlow  ? CheckFlows()
                      : isDrain ? CheckDrain()
                                : CheckColdHosts();
  std::string const rule = isRegress ? "CONFIG"
                           : isFlow  ? "FLOW"
                           : isDrain ? "DRAIN"
                                     : "FAILBACK";
  gRecord.Summary(rule + (isKept ? " held" : " was broken"));
  return isKept ? 0 : 1;
}

int
main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: stand-ins SCENARIO PROGRAM RECORD DIRECTORY\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  gDeployment.mProgram = aArguments[2];
  gDeployment.mDirectory = aArguments[4];
  auto const* const trouble = std::getenv("TROUBLE");
  gHasTrouble = trouble == nullptr || std::string(trouble) != "0";
  int const status = RunScenario(aArguments[1]);
  gRecord.Write(aArguments[3]);
  return status;
}
