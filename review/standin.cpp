/// Stand-ins for the platform's store, for hosts and for clients, and the
/// scenarios of the review. Starts `tarragonsill node` processes as the deploy
/// file does, on loopback addresses, and judges only what clients and hosts
/// have seen.
///
/// Usage: standin SCENARIO PROGRAM RECORD TROUBLE
/// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

// --- Time and the record ---------------------------------------------------

using Clock = std::chrono::steady_clock;
Clock::time_point const gStart = Clock::now();

/// Milliseconds since the start of this program.
double
Now()
{
  return std::chrono::duration<double, std::milli>(Clock::now() - gStart)
    .count();
}

class Record
{
public:
  explicit Record(std::string const& aFile)
    : mFile(std::fopen(aFile.c_str(), "w"))
  {
  }
  ~Record()
  {
    if (mFile != nullptr) {
      (void)std::fclose(mFile);
    }
  }
  __attribute__((format(printf, 2, 3))) void Write(char const* aFormat, ...)
  {
    std::lock_guard const lock(mMutex);
    if (mFile == nullptr) {
      return;
    }
    (void)std::fprintf(mFile, "%9.1f ", Now());
    va_list arguments;
    va_start(arguments, aFormat);
    (void)std::vfprintf(mFile, aFormat, arguments);
    va_end(arguments);
    (void)std::fputc('\n', mFile);
    (void)std::fflush(mFile);
  }

private:
  std::mutex mMutex;
  std::FILE* mFile;
};

std::unique_ptr<Record> gRecord;

class Deployment;
Deployment* gDeployment = nullptr;
void StopDeployment();

[[noreturn]] void
CannotRun(std::string const& aReason)
{
  if (gRecord) {
    gRecord->Write("cannot run: %s", aReason.c_str());
  }
  std::fprintf(stderr, "cannot run: %s\n", aReason.c_str());
  StopDeployment();
  std::fflush(nullptr);
  std::_Exit(2);
}

// --- Addresses and sockets -------------------------------------------------

struct Address
{
  std::uint32_t mIp = 0;
  std::uint16_t mPort = 0;
  auto operator<=>(Address const&) const = default;
};

std::string
IpText(std::uint32_t aIp)
{
  return std::to_string(aIp >> 24) + "." + std::to_string((aIp >> 16) & 255) +
         "." + std::to_string((aIp >> 8) & 255) + "." +
         std::to_string(aIp & 255);
}

std::string
Text(Address aAddress)
{
  return IpText(aAddress.mIp) + ":" + std::to_string(aAddress.mPort);
}

sockaddr_in
ToSocketAddress(Address aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aAddress.mIp);
  address.sin_port = htons(aAddress.mPort);
  return address;
}

/// Returns a bound socket, or -1.
int
Bind(int aType, Address aAddress)
{
  int const socket = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  int const on = 1;
  if (aType == SOCK_STREAM) {
    (void)::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  auto const address = ToSocketAddress(aAddress);
  if (::bind(socket,
             reinterpret_cast<sockaddr const*>(&address),
             sizeof(address)) != 0 ||
      (aType == SOCK_STREAM && ::listen(socket, 256) != 0)) {
    (void)::close(socket);
    return -1;
  }
  return socket;
}

// --- The store --------------------------------------------------------------

/// The platform's store. Keeps the specification of an object as raw JSON text,
/// as its writer sent it.
class Store
{
public:
  void Start(Address aAddress)
  {
    mSocket = Bind(SOCK_STREAM, aAddress);
    if (mSocket < 0) {
      CannotRun("store cannot listen on " + Text(aAddress));
    }
    std::thread([this] { Accept(); }).detach();
  }

  /// Writes an object; returns the time of the acknowledgement.
  double Put(std::string const& aKind,
             std::string const& aName,
             std::string const& aSpec)
  {
    return Change({ 0, aKind, aName, aSpec, false, 0.0 });
  }
  double Remove(std::string const& aKind, std::string const& aName)
  {
    return Change({ 0, aKind, aName, "null", true, 0.0 });
  }

  /// From now on, calls with `serializable` get data of this age.
  void SetReplicaLag(double aMilliseconds) { mReplicaLag = aMilliseconds; }

private:
  struct Event
  {
    std::uint64_t mRevision;
    std::string mKind;
    std::string mName;
    std::string mSpec;
    bool mIsRemoval;
    double mAt;
  };

  double Change(Event aEvent)
  {
    double at = 0.0;
    {
      std::lock_guard const lock(mMutex);
      aEvent.mRevision = ++mRevision;
      at = aEvent.mAt = Now();
      mEvents.push_back(aEvent);
    }
    mChanged.notify_all();
    gRecord->Write("store  %s %s/%s revision %llu: %s",
                   aEvent.mIsRemoval ? "removed" : "acknowledged",
                   aEvent.mKind.c_str(),
                   aEvent.mName.c_str(),
                   static_cast<unsigned long long>(aEvent.mRevision),
                   aEvent.mSpec.substr(0, 160).c_str());
    return at;
  }

  static std::string ObjectText(Event const& aEvent)
  {
    auto const revision = std::to_string(aEvent.mRevision);
    return R"({"meta":{"name":")" + aEvent.mName + R"(","revision":)" +
           revision + R"(,"created":)" + revision +
           R"(,"finalizers":[],"deletePending":false},"spec":)" + aEvent.mSpec +
           R"(,"status":null})";
  }

  /// The revision that the answering replica has reached.
  std::uint64_t VisibleRevision(bool aMayBeStale) const
  {
    if (!aMayBeStale || mReplicaLag <= 0.0) {
      return mRevision;
    }
    std::uint64_t visible = 0;
    for (auto const& event : mEvents) {
      if (event.mAt <= Now() - mReplicaLag) {
        visible = event.mRevision;
      }
    }
    return visible;
  }

  std::string List(std::string const& aKind, bool aMayBeStale)
  {
    std::lock_guard const lock(mMutex);
    auto const visible = VisibleRevision(aMayBeStale);
    std::map<std::string, Event> objects;
    for (auto const& event : mEvents) {
      if (event.mKind != aKind || event.mRevision > visible) {
        continue;
      }
      objects.erase(event.mName);
      if (!event.mIsRemoval) {
        objects.emplace(event.mName, event);
      }
    }
    std::string items;
    for (auto const& [name, event] : objects) {
      items += (items.empty() ? "" : ",") + ObjectText(event);
    }
    return R"({"items":[)" + items + R"(],"more":false,"currentRev":)" +
           std::to_string(visible) + "}";
  }

  std::string Watch(std::string const& aKind,
                    bool aMayBeStale,
                    std::uint64_t aFrom,
                    double aWait)
  {
    auto const deadline = Now() + aWait;
    std::unique_lock lock(mMutex);
    while (true) {
      auto const visible = VisibleRevision(aMayBeStale);
      std::string events;
      for (auto const& event : mEvents) {
        if (event.mKind == aKind && event.mRevision > aFrom &&
            event.mRevision <= visible) {
          events += (events.empty() ? "" : ",") +
                    std::string(R"({"tombstone":)") +
                    (event.mIsRemoval ? "true" : "false") + R"(,"object":)" +
                    ObjectText(event) + "}";
        }
      }
      if (!events.empty() || Now() >= deadline) {
        return R"({"events":[)" + events + R"(],"currentRev":)" +
               std::to_string(std::max(aFrom, visible)) + "}";
      }
      mChanged.wait_for(lock, std::chrono::milliseconds{ 10 });
    }
  }

  static std::string Parameter(std::string const& aTarget, char const* aName)
  {
    auto const key = std::string(aName) + "=";
    for (auto const* prefix : { "?", "&" }) {
      auto const found = aTarget.find(prefix + key);
      if (found != std::string::npos) {
        auto const begin = found + 1 + key.size();
        return aTarget.substr(begin, aTarget.find('&', begin) - begin);
      }
    }
    return {};
  }

  void Accept()
  {
    while (true) {
      int const connection = ::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        continue;
      }
      int const on = 1;
      (void)::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, connection] { Serve(connection); }).detach();
    }
  }

  void Serve(int aConnection)
  {
    std::string received;
    std::array<char, 4096> buffer{};
    while (true) {
      auto const end = received.find("\r\n\r\n");
      if (end == std::string::npos) {
        auto const count = ::recv(aConnection, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
          break;
        }
        received.append(buffer.data(), static_cast<std::size_t>(count));
        continue;
      }
      auto const line = received.substr(0, received.find("\r\n"));
      received.erase(0, end + 4);
      auto const first = line.find(' ');
      auto const target =
        line.substr(first + 1, line.rfind(' ') - first - 1);
      std::this_thread::sleep_for(std::chrono::milliseconds{ 4 });
      auto const answer = Answer(line.substr(0, first), target);
      if (::send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) {
        break;
      }
    }
    (void)::close(aConnection);
  }

  std::string Answer(std::string const& aMethod, std::string const& aTarget)
  {
    auto const path = aTarget.substr(0, aTarget.find('?'));
    std::string const prefix = "/objects/";
    if (aMethod != "GET" || path.rfind(prefix, 0) != 0) {
      return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    }
    auto const kind = path.substr(prefix.size());
    bool const mayBeStale = Parameter(aTarget, "serializable") == "1";
    auto const watch = Parameter(aTarget, "watch");
    auto const body =
      watch.empty()
        ? List(kind, mayBeStale)
        : Watch(kind,
                mayBeStale,
                std::strtoull(watch.c_str(), nullptr, 10),
                std::strtod(Parameter(aTarget, "waitMs").c_str(), nullptr));
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  int mSocket = -1;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Event> mEvents;
  std::uint64_t mRevision = 100;
  std::atomic<double> mReplicaLag{ 0.0 };
};

// --- Packets ----------------------------------------------------------------

constexpr unsigned kSyn = 1;
constexpr unsigned kAck = 2;
constexpr unsigned kFin = 16;
constexpr unsigned kRst = 64;
constexpr std::size_t kHead = 36;

struct Packet
{
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  std::uint16_t mLength = 0;
  std::uint32_t mEcho = 0;
  std::uint32_t mSum = 0;
  Address mFrom;
  Address mTo;
  unsigned mFlags = 0;
};

/// The key of the sums of clients and hosts, which the system does not know.
constexpr std::uint32_t kSumKey = 0x5eed1234;

std::uint32_t
SumOf(Packet const& aPacket)
{
  std::uint32_t sum = kSumKey;
  for (std::uint32_t const word : { aPacket.mSequence,
                                    aPacket.mAcknowledged,
                                    std::uint32_t{ aPacket.mLength },
                                    aPacket.mFrom.mIp,
                                    std::uint32_t{ aPacket.mFrom.mPort },
                                    aPacket.mTo.mIp,
                                    std::uint32_t{ aPacket.mTo.mPort },
                                    std::uint32_t{ aPacket.mFlags } }) {
    sum = (sum ^ word) * 16777619U;
  }
  return sum;
}

void
Store32(unsigned char* aTo, std::uint32_t aValue)
{
  auto const value = htonl(aValue);
  std::memcpy(aTo, &value, sizeof(value));
}

void
Store16(unsigned char* aTo, std::uint16_t aValue)
{
  auto const value = htons(aValue);
  std::memcpy(aTo, &value, sizeof(value));
}

std::uint32_t
Load32(unsigned char const* aFrom)
{
  std::uint32_t value = 0;
  std::memcpy(&value, aFrom, sizeof(value));
  return ntohl(value);
}

std::uint16_t
Load16(unsigned char const* aFrom)
{
  std::uint16_t value = 0;
  std::memcpy(&value, aFrom, sizeof(value));
  return ntohs(value);
}

std::vector<unsigned char>
Write(Packet const& aPacket)
{
  std::vector<unsigned char> bytes(kHead + aPacket.mLength, 0);
  Store32(&bytes[0], aPacket.mSequence);
  Store32(&bytes[4], aPacket.mAcknowledged);
  Store16(&bytes[8], aPacket.mLength);
  Store32(&bytes[10], aPacket.mEcho);
  Store32(&bytes[14], SumOf(aPacket));
  Store16(&bytes[18], aPacket.mTo.mPort);
  Store32(&bytes[20], aPacket.mFrom.mIp);
  Store16(&bytes[24], aPacket.mFrom.mPort);
  Store32(&bytes[26], aPacket.mTo.mIp);
  bytes[30] = static_cast<unsigned char>(aPacket.mFlags);
  return bytes;
}

std::optional<Packet>
Read(unsigned char const* aBytes, std::size_t aCount)
{
  if (aCount < kHead || aCount != kHead + Load16(aBytes + 8)) {
    return std::nullopt;
  }
  Packet packet;
  packet.mSequence = Load32(aBytes);
  packet.mAcknowledged = Load32(aBytes + 4);
  packet.mLength = Load16(aBytes + 8);
  packet.mEcho = Load32(aBytes + 10);
  packet.mSum = Load32(aBytes + 14);
  packet.mFrom = { Load32(aBytes + 20), Load16(aBytes + 24) };
  packet.mTo = { Load32(aBytes + 26), Load16(aBytes + 18) };
  packet.mFlags = aBytes[30];
  return packet;
}

void
SendTo(int aSocket, Address aTo, std::vector<unsigned char> const& aBytes)
{
  auto const address = ToSocketAddress(aTo);
  (void)::sendto(aSocket,
                 aBytes.data(),
                 aBytes.size(),
                 MSG_DONTWAIT,
                 reinterpret_cast<sockaddr const*>(&address),
                 sizeof(address));
}

/// Calls a function with each datagram that waits at a socket.
template<typename Handler>
void
ReceiveAll(int aSocket, Handler aHandler)
{
  std::array<unsigned char, 2048> buffer{};
  while (true) {
    auto const count =
      ::recv(aSocket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0) {
      return;
    }
    aHandler(buffer.data(), static_cast<std::size_t>(count));
  }
}

// --- Hosts ------------------------------------------------------------------

/// A flow that a host has taken.
struct Opening
{
  Address mClient;
  unsigned mCopy = 0;     ///< Which copy of the opening packet was taken.
  double mArrivedAt = 0.0;
};

constexpr std::uint16_t kAnswerBytes = 300;

/// A host in the form `echo`.
class Host
{
public:
  Host(std::string aId,
       std::string aService,
       std::string aZone,
       Address aAddress,
       std::uint16_t aClientPort)
    : mId(std::move(aId))
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mAddress(aAddress)
    , mClientPort(aClientPort)
  {
    mIdentity =
      std::strtoull(mId.substr(mId.rfind('-') + 1).c_str(), nullptr, 16);
    mSocket = Bind(SOCK_DGRAM, mAddress);
    mListener = Bind(SOCK_STREAM, mAddress);
    if (mSocket < 0 || mListener < 0) {
      CannotRun("host cannot listen on " + Text(mAddress));
    }
    // Status checks are answered on the same address.
    std::thread([this] {
      while (true) {
        pollfd entry{ mListener, POLLIN, 0 };
        (void)::poll(&entry, 1, 20);
        if (mIsQueueFull) {
          continue;
        }
        int const connection =
          ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (connection >= 0) {
          AnswerStatusCheck(connection);
        }
      }
    }).detach();
    int const flags = ::fcntl(mListener, F_GETFL);
    (void)::fcntl(mListener, F_SETFL, flags | O_NONBLOCK);
  }

  /// Status checks of others fill the queue of new connections, or leave it.
  void SetQueueFull(bool aIsFull)
  {
    mIsQueueFull = aIsFull;
    (void)::listen(mListener, aIsFull ? 0 : 256);
    for (int check = 0; aIsFull && check < 4; ++check) {
      int const socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      auto const address = ToSocketAddress(mAddress);
      (void)::connect(socket,
                      reinterpret_cast<sockaddr const*>(&address),
                      sizeof(address));
      mStatusChecks.push_back(socket);
    }
    gRecord->Write("host   %s queue of new connections is %s",
                   mId.c_str(),
                   aIsFull ? "full" : "free");
  }

  /// The network loses the next request to this host.
  void LoseNextRequest() { mLosesNextRequest = true; }

  /// The entry that the host writes into the store.
  std::string Spec(std::string const& aState) const
  {
    auto const coldLeft =
      static_cast<int>(std::max(0.0, mColdUntil - Now()));
    return R"({"service":")" + mService + R"(","address":")" + Text(mAddress) +
           R"(","zone":")" + mZone + R"(","version":"v1","slots":4,"state":")" +
           aState + R"(","coldLeftMs":)" + std::to_string(coldLeft) +
           R"(,"seq":1,"born":)" + mBorn + "}";
  }

  /// The host has just started and is cold for a while.
  void SetColdFor(double aMilliseconds) { mColdUntil = Now() + aMilliseconds; }
  void SetWork(double aMilliseconds) { mWork = aMilliseconds; }

  void Poll()
  {
    while (!mAnswers.empty() && mAnswers.front().mDueAt <= Now()) {
      SendAnswer(mAnswers.front());
      mAnswers.pop_front();
    }
    ReceiveAll(mSocket, [&](unsigned char const* aBytes, std::size_t aCount) {
      if (aCount < sizeof(std::uint64_t)) {
        return;
      }
      auto const identity =
        (std::uint64_t{ Load32(aBytes) } << 32) | Load32(aBytes + 4);
      auto const packet = Read(aBytes + 8, aCount - 8);
      if (!packet || (identity != 0 && identity != mIdentity)) {
        return; // Meant for another host.
      }
      if (mLosesNextRequest && packet->mLength > 0) {
        mLosesNextRequest = false;
        gRecord->Write("net    a request of client %u to host %s was lost",
                       packet->mFrom.mPort,
                       mId.c_str());
        return;
      }
      if (packet->mSum != SumOf(*packet)) {
        gRecord->Write("host   %s got a packet its sender didn't write",
                       mId.c_str());
        return;
      }
      Handle(*packet);
    });
  }

  std::string const& Id() const { return mId; }
  Address Where() const { return mAddress; }
  std::vector<Opening> const& Openings() const { return mOpenings; }

private:
  struct Flow
  {
    Opening mOpening;
    std::uint32_t mNext = 0;     ///< Sequence number of the next byte to send.
    std::uint32_t mExpected = 0; ///< Of the next byte from the client.
    double mAnsweredAt = 0.0;
    bool mIsOpen = false;
  };
  /// An answer that is sent when the work is done.
  struct PendingAnswer
  {
    Packet mRequest;
    std::uint32_t mSequence = 0;
    std::uint32_t mAcknowledged = 0;
    double mDueAt = 0.0;
  };

  static void AnswerStatusCheck(int aConnection)
  {
    std::thread([aConnection] {
      pollfd entry{ aConnection, POLLIN, 0 };
      std::array<char, 1024> buffer{};
      if (::poll(&entry, 1, 1000) > 0 &&
          ::recv(aConnection, buffer.data(), buffer.size(), 0) > 0) {
        std::string const answer =
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        (void)::send(aConnection, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      (void)::close(aConnection);
    }).detach();
  }

  void SendAnswer(PendingAnswer const& aAnswer)
  {
    Answer(aAnswer.mRequest,
           kAck,
           aAnswer.mSequence,
           aAnswer.mAcknowledged,
           kAnswerBytes);
  }

  void Answer(Packet const& aTo,
              unsigned aFlags,
              std::uint32_t aSequence,
              std::uint32_t aAcknowledged,
              std::uint16_t aLength = 0)
  {
    Packet packet;
    packet.mSequence = aSequence;
    packet.mAcknowledged = aAcknowledged;
    packet.mLength = aLength;
    packet.mEcho = aTo.mEcho;
    packet.mFrom = aTo.mTo;
    packet.mTo = aTo.mFrom;
    packet.mFlags = aFlags;
    SendTo(mSocket, { packet.mTo.mIp, mClientPort }, Write(packet));
  }

  void Handle(Packet const& aPacket)
  {
    if ((aPacket.mFlags & kRst) != 0) {
      mFlows.erase(aPacket.mFrom);
      return;
    }
    if ((aPacket.mFlags & kSyn) != 0) {
      if ((aPacket.mFlags & kAck) != 0) {
        return; // Forged.
      }
      auto const [entry, isNew] = mFlows.try_emplace(aPacket.mFrom);
      auto& flow = entry->second;
      if (isNew) {
        flow.mOpening = { aPacket.mFrom, aPacket.mAcknowledged, Now() };
        flow.mNext = static_cast<std::uint32_t>(mRandom());
        flow.mExpected = aPacket.mSequence + 1;
      }
      if (!flow.mIsOpen) {
        Answer(aPacket, kSyn | kAck, flow.mNext, flow.mExpected);
      }
      return;
    }
    auto const found = mFlows.find(aPacket.mFrom);
    if (found == mFlows.end()) {
      Answer(aPacket, kRst, aPacket.mAcknowledged, 0);
      return;
    }
    auto& flow = found->second;
    if (!flow.mIsOpen) {
      if (aPacket.mAcknowledged != flow.mNext + 1) {
        return; // The client took the answer of another host.
      }
      flow.mIsOpen = true;
      ++flow.mNext;
      mOpenings.push_back(flow.mOpening);
    }
    if (aPacket.mLength > 0) {
      bool const isNew = aPacket.mSequence == flow.mExpected;
      if (isNew) {
        flow.mExpected += aPacket.mLength;
        flow.mNext += kAnswerBytes;
      }
      // A request at work is acknowledged; its answer comes later.
      auto const dueAt = isNew ? Now() + mWork : flow.mAnsweredAt;
      flow.mAnsweredAt = dueAt;
      if (dueAt > Now()) {
        Answer(aPacket, kAck, flow.mNext - kAnswerBytes, flow.mExpected);
      }
      if (isNew || dueAt <= Now()) {
        mAnswers.push_back({ aPacket,
                             flow.mNext - kAnswerBytes,
                             flow.mExpected,
                             std::max(dueAt, Now()) });
      }
    }
    if ((aPacket.mFlags & kFin) != 0) {
      Answer(aPacket, kAck | kFin, flow.mNext, aPacket.mSequence + 1);
    }
  }

  std::string mId;
  std::string mService;
  std::string mZone;
  Address mAddress;
  std::uint16_t mClientPort;
  std::string mBorn = std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  std::uint64_t mIdentity = 0;
  int mSocket = -1;
  int mListener = -1;
  std::atomic<bool> mIsQueueFull{ false };
  std::vector<int> mStatusChecks;
  bool mLosesNextRequest = false;
  std::mt19937 mRandom{ std::random_device{}() };
  std::map<Address, Flow> mFlows;
  std::vector<Opening> mOpenings;
  std::deque<PendingAnswer> mAnswers;
  double mColdUntil = 0.0;
  double mWork = 0.0;
};

// --- Nodes ------------------------------------------------------------------

/// A process of the system and the router's view of it.
struct Node
{
  std::string mName;
  std::string mZone;
  std::uint32_t mIp = 0;
  pid_t mProcess = -1;
  std::atomic<bool> mIsInRotation{ false };
};

bool
IsReady(Address aAddress)
{
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval const timeout{ 0, 400'000 };
  (void)::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  auto const address = ToSocketAddress(aAddress);
  bool ready = false;
  std::string const request =
    "GET /readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
  std::array<char, 256> buffer{};
  if (::connect(socket,
                reinterpret_cast<sockaddr const*>(&address),
                sizeof(address)) == 0 &&
      ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
    auto const count = ::recv(socket, buffer.data(), buffer.size() - 1, 0);
    ready = count > 12 && std::strncmp(buffer.data() + 9, "200", 3) == 0;
  }
  (void)::close(socket);
  return ready;
}

// --- The deployment ---------------------------------------------------------

constexpr std::uint16_t kPacketPort = 8172;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kHostPort = 8080;
constexpr std::uint16_t kRoutePort = 443;
constexpr std::uint16_t kMetricsPort = 9464;
constexpr double kDrainMs = 3000;
constexpr unsigned kMaxRunSeconds = 110;

/// A flow of a client.
struct ClientFlow
{
  Address mClient;
  Address mRoute;
  std::string mZone;
  std::array<double, 3> mSentAt{};       ///< Of each copy of the opening packet.
  std::array<std::string, 3> mThrough{}; ///< The node of each copy.
  unsigned mCopies = 0;
  double mNextSend = 0.0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  std::uint32_t mEcho = 0;
  unsigned mRetransmissions = 0;
  double mPause = 0.0; ///< Between two requests; 0 if there is only one.
  double mRequestedAt = 0.0;
  bool mIsOpen = false;
  bool mHasEnded = false;
  /// When a reset arrived that no host had sent, while the flow was open.
  double mSystemResetAt = 0.0;
};

class Deployment
{
public:
  Deployment(std::string aProgram, std::vector<std::string> aZones, int aNodes)
    : mProgram(std::move(aProgram))
    , mZones(std::move(aZones))
  {
    auto const* const temporary = std::getenv("TMPDIR");
    mFolder = std::string(temporary != nullptr ? temporary : "/tmp") +
              "/review-XXXXXX";
    if (::mkdtemp(mFolder.data()) == nullptr) {
      CannotRun("no temporary folder");
    }
    ChooseNetwork(aNodes);
    mStore.Start({ Ip(1, 1), kStorePort });
    mClientSocket = Bind(SOCK_DGRAM, { Ip(3, 1), kPacketPort });
    if (mClientSocket < 0) {
      CannotRun("clients cannot listen");
    }
    for (int index = 0; index < aNodes; ++index) {
      auto node = std::make_unique<Node>();
      node->mZone = mZones[static_cast<std::size_t>(index) % mZones.size()];
      node->mName = "front-" + node->mZone + "-" + std::to_string(index);
      node->mIp = Ip(0, static_cast<std::uint32_t>(index) + 10);
      mNodes.push_back(std::move(node));
    }
  }

  /// Ends the processes that were started and removes their files.
  void Stop()
  {
    mStop = true;
    for (auto const& node : mNodes) {
      if (node->mProcess > 0) {
        (void)::kill(node->mProcess, SIGKILL);
        (void)::waitpid(node->mProcess, nullptr, 0);
      }
    }
    for (auto const& thread : mThreads) {
      thread->join();
    }
    gRecord->Write("the processes' logs and settings were in a temporary "
                   "folder, now removed");
    for (auto const& node : mNodes) {
      (void)::unlink((mFolder + "/" + node->mName + ".toml").c_str());
      (void)::unlink((mFolder + "/" + node->mName + ".log").c_str());
    }
    (void)::rmdir(mFolder.c_str());
  }

  std::uint32_t Ip(std::uint32_t aGroup, std::uint32_t aNumber) const
  {
    return mNetwork + (aGroup << 8) + aNumber;
  }
  Address Route(std::uint32_t aNumber) const
  {
    return { Ip(4, aNumber), kRoutePort };
  }
  Store& TheStore() { return mStore; }
  std::vector<std::unique_ptr<Host>>& Hosts() { return mHosts; }
  std::vector<std::unique_ptr<Node>>& Nodes() { return mNodes; }
  std::vector<ClientFlow> const& Flows() const { return mFlows; }

  Host& AddHost(std::string const& aService, std::string const& aZone)
  {
    auto const number = static_cast<std::uint32_t>(mHosts.size()) + 10;
    std::array<char, 24> id{};
    std::snprintf(id.data(), id.size(), "i-%08x", 0x7f3a9100U + number);
    mHosts.push_back(std::make_unique<Host>(id.data(),
                                            aService,
                                            aZone,
                                            Address{ Ip(2, number), kHostPort },
                                            kPacketPort));
    return *mHosts.back();
  }

  /// A route of a configuration.
  std::string RouteText(std::uint32_t aNumber, std::string const& aService) const
  {
    return R"({"name":"r-)" + std::to_string(aNumber) + R"(","host":")" +
           IpText(Route(aNumber).mIp) +
           R"(","pathPrefix":"/443/","type":"safe","timeoutMs":4000,)"
           R"("latencyTargetMs":250,"priority":2,"service":")" +
           aService + R"(","maxAttempts":2})";
  }
  static std::string Configuration(int aVersion,
                                   std::string const& aRoutes,
                                   std::string const& aServices)
  {
    return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
           aRoutes + R"(],"services":[)" + aServices +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
  }
  static std::string ServiceText(std::string const& aName)
  {
    return R"({"name":")" + aName +
           R"(","healthPath":"/health","maxConns":2000,"protocol":"h1",)"
           R"("tls":false,"coldS":2.0,"coldRateS":2.0})";
  }

  /// Starts a node with the command of the deploy file.
  void Start(Node& aNode, bool aIsFirstStart)
  {
    auto const settings = mFolder + "/" + aNode.mName + ".toml";
    std::ofstream(settings) << SettingsOf(aNode, aIsFirstStart);
    auto const log = mFolder + "/" + aNode.mName + ".log";
    gRecord->Write("node   %s starts", aNode.mName.c_str());
    aNode.mProcess = ::fork();
    if (aNode.mProcess == 0) {
      // The process ends with this program, however that ends.
      (void)::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int const file =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      (void)::dup2(file, STDOUT_FILENO);
      (void)::dup2(file, STDERR_FILENO);
      (void)::setenv("TARRAGONSILL_SETTINGS", settings.c_str(), 1);
      ::execl(mProgram.c_str(),
              mProgram.c_str(),
              "node",
              "--metrics-port",
              std::to_string(kMetricsPort).c_str(),
              nullptr);
      ::_exit(127);
    }
  }

  void Kill(Node& aNode)
  {
    (void)::kill(aNode.mProcess, SIGKILL);
    (void)::waitpid(aNode.mProcess, nullptr, 0);
    aNode.mProcess = -1;
    gRecord->Write("node   %s was killed", aNode.mName.c_str());
  }

  /// Starts all nodes and waits until they are ready.
  void StartAll()
  {
    for (auto const& node : mNodes) {
      Start(*node, true);
      mThreads.push_back(std::make_unique<std::thread>(
        [this, raw = node.get()] { FollowReadiness(*raw); }));
    }
    auto const deadline = Now() + 15'000;
    while (!AllInRotation()) {
      if (Now() > deadline) {
        CannotRun("not all nodes became ready");
      }
      Poll(std::nullopt);
    }
    gRecord->Write("all nodes are ready");
  }

  bool AllInRotation() const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [](auto const& aNode) {
      return aNode->mIsInRotation.load();
    });
  }

  /// Runs clients until a time. `aRoutes` are opened in turn, each zone's
  /// clients open `aPerSecond` flows a second.
  void RunUntil(double aEnd,
                std::vector<std::uint32_t> const& aRoutes,
                double aPerSecond)
  {
    while (Now() < aEnd) {
      for (std::size_t zone = 0; aPerSecond > 0.0 && zone < mZones.size();
           ++zone) {
        auto& next = mNextOpening[zone];
        next = std::max(next, Now() - 1000.0);
        if (Now() >= next) {
          next += 1000.0 / aPerSecond;
          Open(mZones[zone], Route(aRoutes[mOpened++ % aRoutes.size()]));
        }
      }
      Poll(1);
    }
  }

  void Poll(std::optional<int> aWait)
  {
    std::vector<pollfd> entries{ { mClientSocket, POLLIN, 0 } };
    (void)::poll(entries.data(), entries.size(), aWait.value_or(1));
    for (auto const& host : mHosts) {
      host->Poll();
    }
    ReceiveAll(mClientSocket,
               [&](unsigned char const* aBytes, std::size_t aCount) {
                 if (auto const packet = Read(aBytes, aCount)) {
                   HandleAtClient(*packet);
                 }
               });
    while (mFirstLive < mFlows.size() && mFlows[mFirstLive].mHasEnded) {
      ++mFirstLive;
    }
    for (auto index = mFirstLive; index < mFlows.size(); ++index) {
      SendDue(mFlows[index]);
    }
  }

  /// The flow whose client has an address.
  ClientFlow const& FlowOf(Address aClient) const
  {
    return mFlows[static_cast<std::size_t>(aClient.mPort - kFirstClientPort)];
  }

private:
  static constexpr std::uint16_t kFirstClientPort = 10'000;
  static constexpr double kBudgetMs = 4000;
  static constexpr std::uint16_t kRequestBytes = 120;

  /// Chooses a part of the loopback network in which all ports are free.
  void ChooseNetwork(int aNodes)
  {
    std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 20; ++attempt) {
      mNetwork = (127U << 24) | ((16U + random() % 200U) << 16);
      bool isFree = true;
      auto const check = [&](int aType, Address aAddress) {
        int const socket = Bind(aType, aAddress);
        isFree = isFree && socket >= 0;
        (void)::close(socket);
      };
      check(SOCK_STREAM, { Ip(1, 1), kStorePort });
      for (int node = 0; node < aNodes; ++node) {
        auto const ip = Ip(0, static_cast<std::uint32_t>(node) + 10);
        check(SOCK_DGRAM, { ip, kPacketPort });
        check(SOCK_STREAM, { ip, kReadyPort });
        check(SOCK_STREAM, { ip, kMetricsPort });
        for (std::uint16_t port = 7720; port < 7724; ++port) {
          check(SOCK_DGRAM, { ip, port });
          check(SOCK_STREAM, { ip, port });
        }
      }
      if (isFree) {
        return;
      }
    }
    CannotRun("no free ports");
  }

  std::string SettingsOf(Node const& aNode, bool aIsFirstStart) const
  {
    auto const ip = IpText(aNode.mIp);
    std::string seeds;
    for (std::size_t index = 0; index < mNodes.size() && index < 3; ++index) {
      seeds += (index > 0 ? "," : "") + std::string("\"") +
               Text({ mNodes[index]->mIp, kControlPort }) + "\"";
    }
    std::string zones;
    for (auto const& zone : mZones) {
      zones += zone + " = \"geo\"\n";
    }
    auto const quoted = [](std::string const& aText) {
      return "\"" + aText + "\"\n";
    };
    return "nodeName = " + quoted(aNode.mName) + "role = \"entry\"\n" +
           "machineClass = \"front\"\nserves = [\"front\",\"control\"]\n" +
           "ip = " + quoted(ip) + "zone = " + quoted(aNode.mZone) +
           "region = \"geo\"\ninternalPortRange = [7720,7735]\nseeds = [" +
           seeds + "]\nbootstrap = " + (aIsFirstStart ? "true" : "false") +
           "\ncountLoss = false\ndiscovery = \"platform\"\n" +
           "entry = \"announce\"\nheartbeatIntervalMs = 1200\n" +
           "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\"," +
           "\"flows\",\"places\",\"platform\"]\n" +
           "hash = \"mod\"\nproxyMode = \"echo\"\n[zones]\n" + zones +
           "[listen]\npacketAddr = " +
           quoted(Text({ aNode.mIp, kPacketPort })) +
           "ready = " + quoted(Text({ aNode.mIp, kReadyPort })) +
           "control = " + quoted(Text({ aNode.mIp, kControlPort })) +
           "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n" +
           "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n" +
           "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n" +
           "[bounds]\nseedLagS = 3\nreuseAfterS = 2\n" +
           "stabilityWindowMs = 4000\nackMs = 5000\ncatchUpS = 4\n" +
           "drainMs = 3000\ngraceS = 6\nlossSlackMs = 200\n" +
           "configPropagationMs = 3000\nrollbackSlackMs = 250\n" +
           "maxStretchMs = 12000\nwarmupBurstFactor = 1.5\ncoldSlack = 5\n" +
           "evacuationDelayMs = 5000\nrecoveryS = 12\nflowSlackMs = 2000\n" +
           "maxFlowS = 60\n[platform]\naddress = " +
           quoted(Text({ Ip(1, 1), kStorePort })) +
           "proxyMode = \"objects\"\nwriteRateS = 400\nreadRateS = 2000\n" +
           "historyS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000\n";
  }

  /// Asks for readiness twice a second, as the platform does: two misses end
  /// the rotation, one answer begins it.
  void FollowReadiness(Node& aNode)
  {
    int misses = 2;
    while (!mStop) {
      misses = IsReady({ aNode.mIp, kReadyPort }) ? 0 : misses + 1;
      bool const isIn = misses == 0 || (misses < 2 && aNode.mIsInRotation);
      if (aNode.mIsInRotation.exchange(isIn) != isIn) {
        gRecord->Write("router %s is %s rotation",
                       aNode.mName.c_str(),
                       isIn ? "in" : "out of");
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{ 500 });
    }
  }

  /// The node that the router picks for a flow.
  Node const& NodeFor(ClientFlow const& aFlow) const
  {
    std::vector<Node const*> zone;
    std::vector<Node const*> inRotation;
    for (auto const& node : mNodes) {
      if (node->mZone != aFlow.mZone) {
        continue;
      }
      zone.push_back(node.get());
      if (node->mIsInRotation) {
        inRotation.push_back(node.get());
      }
    }
    auto const& nodes = 2 * inRotation.size() < zone.size() ? zone : inRotation;
    auto const hash =
      (aFlow.mClient.mPort * 2654435761U) ^ (aFlow.mRoute.mIp * 40503U);
    return *nodes[(hash >> 8) % nodes.size()];
  }

public:
  /// Opens a flow; one with a pause stays open for further requests.
  void Open(std::string const& aZone, Address aRoute, double aPause = 0.0)
  {
    ClientFlow flow;
    flow.mPause = aPause;
    flow.mClient = { Ip(3, 1),
                     static_cast<std::uint16_t>(kFirstClientPort +
                                                mFlows.size()) };
    flow.mRoute = aRoute;
    flow.mZone = aZone;
    flow.mSequence = static_cast<std::uint32_t>(mRandom());
    flow.mNextSend = Now();
    mFlows.push_back(flow);
  }

private:
  void Send(ClientFlow& aFlow, unsigned aFlags, std::uint16_t aLength)
  {
    Packet packet;
    packet.mSequence = aFlow.mSequence;
    packet.mAcknowledged =
      (aFlags & kSyn) != 0 ? aFlow.mCopies : aFlow.mAcknowledged;
    packet.mLength = aLength;
    packet.mEcho = aFlow.mEcho;
    packet.mFrom = aFlow.mClient;
    packet.mTo = aFlow.mRoute;
    packet.mFlags = aFlags;
    auto const& node = NodeFor(aFlow);
    if ((aFlags & kSyn) != 0) {
      aFlow.mSentAt[aFlow.mCopies] = Now();
      aFlow.mThrough[aFlow.mCopies] = node.mName;
    }
    SendTo(mClientSocket, { node.mIp, kPacketPort }, Write(packet));
  }

  void SendDue(ClientFlow& aFlow)
  {
    if (aFlow.mHasEnded || Now() < aFlow.mNextSend) {
      return;
    }
    if (!aFlow.mIsOpen) {
      if (aFlow.mCopies == 3) {
        End(aFlow, "did not open");
        return;
      }
      constexpr std::array<double, 3> kDelays{ 200, 400, 800 };
      Send(aFlow, kSyn, 0);
      aFlow.mNextSend = Now() + kDelays[aFlow.mCopies++];
      return;
    }
    if (aFlow.mRetransmissions == 0) {
      aFlow.mRequestedAt = Now();
    }
    if (Now() > aFlow.mRequestedAt + kBudgetMs) {
      End(aFlow, "was not answered in time");
      return;
    }
    Send(aFlow, kAck, kRequestBytes);
    aFlow.mNextSend =
      Now() + std::min(1600.0, 200.0 * (1U << aFlow.mRetransmissions++));
  }

  void HandleAtClient(Packet const& aPacket)
  {
    auto const index = aPacket.mTo.mPort - kFirstClientPort;
    if (index < 0 || static_cast<std::size_t>(index) >= mFlows.size()) {
      return;
    }
    auto& flow = mFlows[static_cast<std::size_t>(index)];
    if (flow.mHasEnded) {
      return;
    }
    if ((aPacket.mFlags & kRst) != 0) {
      bool const isFromHost = aPacket.mSum == SumOf(aPacket);
      if (flow.mIsOpen && !isFromHost) {
        flow.mSystemResetAt = Now();
      }
      End(flow,
          !flow.mIsOpen ? "was refused"
          : isFromHost  ? "was reset by its host"
                        : "was reset by the system while open");
      return;
    }
    flow.mEcho = aPacket.mEcho;
    if ((aPacket.mFlags & kSyn) != 0) {
      if (!flow.mIsOpen) {
        flow.mIsOpen = true;
        ++flow.mSequence;
        flow.mAcknowledged = aPacket.mSequence + 1;
        flow.mNextSend = Now();
      }
      return;
    }
    if (flow.mIsOpen && aPacket.mLength == 0 &&
        aPacket.mAcknowledged == flow.mSequence + kRequestBytes) {
      // The host has the request and works on it.
      flow.mNextSend = flow.mRequestedAt + kBudgetMs + 1.0;
      return;
    }
    if (flow.mIsOpen && aPacket.mLength > 0 &&
        aPacket.mSequence == flow.mAcknowledged) {
      flow.mSequence += kRequestBytes;
      flow.mAcknowledged += aPacket.mLength;
      if (flow.mPause > 0.0) {
        flow.mRetransmissions = 0;
        Send(flow, kAck, 0);
        flow.mNextSend = Now() + flow.mPause;
        return;
      }
      Send(flow, kAck | kFin, 0);
      End(flow, nullptr);
    }
  }

  void End(ClientFlow& aFlow, char const* aFailure)
  {
    aFlow.mHasEnded = true;
    if (aFailure != nullptr) {
      gRecord->Write("client %u to %s, sent at %.1f through %s: %s",
                     aFlow.mClient.mPort,
                     Text(aFlow.mRoute).c_str(),
                     aFlow.mSentAt[0],
                     aFlow.mThrough[0].c_str(),
                     aFailure);
    }
  }

  std::string mProgram;
  std::vector<std::string> mZones;
  std::string mFolder;
  std::uint32_t mNetwork = 0;
  Store mStore;
  int mClientSocket = -1;
  std::atomic<bool> mStop{ false };
  std::vector<std::unique_ptr<Node>> mNodes;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<std::unique_ptr<std::thread>> mThreads;
  std::vector<ClientFlow> mFlows;
  std::size_t mFirstLive = 0;
  std::size_t mOpened = 0;
  std::map<std::size_t, double> mNextOpening;
  std::mt19937 mRandom{ std::random_device{}() };
};

void
StopDeployment()
{
  if (gDeployment != nullptr) {
    gDeployment->Stop();
  }
}

/// Writes all flows that hosts took into the record.
void
WriteOpenings(Deployment& aDeployment)
{
  for (auto const& host : aDeployment.Hosts()) {
    for (auto const& opening : host->Openings()) {
      auto const& flow = aDeployment.FlowOf(opening.mClient);
      gRecord->Write("run    host %s took client %u to %s, sent at %.1f "
                     "through %s, arrived at %.1f",
                     host->Id().c_str(),
                     opening.mClient.mPort,
                     Text(flow.mRoute).c_str(),
                     flow.mSentAt[opening.mCopy],
                     flow.mThrough[opening.mCopy].c_str(),
                     opening.mArrivedAt);
    }
  }
}

int
Verdict(char const* aRule, std::size_t aBreaches, std::string const& aDetail)
{
  gRecord->Write("%s: %s (%zu breaches) %s",
                 aRule,
                 aBreaches > 0 ? "BROKEN" : "held",
                 aBreaches,
                 aDetail.c_str());
  std::printf("%s: %s (%zu breaches) %s\n",
              aRule,
              aBreaches > 0 ? "BROKEN" : "held",
              aBreaches,
              aDetail.c_str());
  return aBreaches > 0 ? 1 : 0;
}

// --- Scenarios --------------------------------------------------------------

void
StartDeployment(Deployment& aDeployment)
{
  auto& store = aDeployment.TheStore();
  for (auto const* zone : { "a", "b", "c", "a", "b", "c" }) {
    auto& host = aDeployment.AddHost("app", zone);
    (void)store.Put("servers", host.Id(), host.Spec("ready"));
  }
  (void)store.Put("config",
                  "main",
                  Deployment::Configuration(
                    7,
                    aDeployment.RouteText(1, "app") + "," +
                      aDeployment.RouteText(2, "app"),
                    Deployment::ServiceText("app")));
  aDeployment.StartAll();
  // Nodes are in touch once they have run for the stability window.
  aDeployment.RunUntil(Now() + 5000, { 1 }, 20);
}

/// Drains a host and counts the flows that it takes too late.
int
JudgeDrain(Deployment& aDeployment)
{
  auto& host = *aDeployment.Hosts().front();
  auto const acknowledged = aDeployment.TheStore().Put(
    "servers", host.Id(), host.Spec("draining"));
  // The host stays for many seconds after its report.
  aDeployment.RunUntil(Now() + 9000, { 1 }, 20);
  WriteOpenings(aDeployment);
  std::size_t late = 0;
  std::size_t before = 0;
  double last = 0.0;
  for (auto const& opening : host.Openings()) {
    bool const isLate = opening.mArrivedAt > acknowledged + kDrainMs;
    late += isLate ? 1 : 0;
    before += opening.mArrivedAt < acknowledged ? 1 : 0;
    last = std::max(last, opening.mArrivedAt - acknowledged);
  }
  if (before == 0) {
    CannotRun("the host took no flow before it drained");
  }
  return Verdict("DRAIN",
                 late,
                 "last flow at the draining host " +
                   std::to_string(static_cast<int>(last)) +
                   " ms after the acknowledgement; the bound is 3000 ms");
}

/// Kills all nodes, starts them again and records how many flows are taken
/// later than `recoveryS` afterwards. Does not count for the exit status.
void
ShowRecovery(Deployment& aDeployment)
{
  constexpr double kRecoveryMs = 12'000;
  gRecord->Write("all nodes are killed");
  for (auto const& node : aDeployment.Nodes()) {
    aDeployment.Kill(*node);
  }
  aDeployment.RunUntil(Now() + 1500, { 1 }, 20);
  for (auto const& node : aDeployment.Nodes()) {
    aDeployment.Start(*node, false);
  }
  auto const backAt = Now();
  aDeployment.RunUntil(backAt + kRecoveryMs + 8000, { 1 }, 20);
  std::set<std::uint16_t> taken;
  for (auto const& host : aDeployment.Hosts()) {
    for (auto const& opening : host->Openings()) {
      taken.insert(opening.mClient.mPort);
    }
  }
  std::size_t asked = 0;
  std::size_t served = 0;
  for (auto const& flow : aDeployment.Flows()) {
    if (flow.mCopies > 0 && flow.mSentAt[0] > backAt + kRecoveryMs) {
      ++asked;
      served += taken.count(flow.mClient.mPort);
    }
  }
  gRecord->Write("beside the case: of %zu flows sent later than 12 s after all "
                 "nodes were back, hosts took %zu",
                 asked,
                 served);
  std::printf("beside the case: of %zu flows sent later than 12 s after all "
              "nodes were killed and back, hosts took %zu\n",
              asked,
              served);
}

/// A foreign writer leaves an entry with a text that is no Unicode.
int
UnreadableEntry(Deployment& aDeployment, bool aTrouble)
{
  StartDeployment(aDeployment);
  if (aTrouble) {
    (void)aDeployment.TheStore().Put(
      "servers",
      "i-0badf00d",
      R"({"service":"app","zone":"a","version":"\ud800"})");
  }
  aDeployment.RunUntil(Now() + 3000, { 1 }, 20);
  int const status = JudgeDrain(aDeployment);
  ShowRecovery(aDeployment);
  return status;
}

/// Calls that allow old data get data that is some seconds old.
int
StaleWatch(Deployment& aDeployment, bool aTrouble)
{
  StartDeployment(aDeployment);
  if (aTrouble) {
    aDeployment.TheStore().SetReplicaLag(5000);
    gRecord->Write("store  answers to calls with serializable are 5 s old");
  }
  aDeployment.RunUntil(Now() + 6000, { 1 }, 20);
  return JudgeDrain(aDeployment);
}

/// A host's queue of new connections is full, and a few requests are lost.
int
FullQueue(Deployment& aDeployment, bool aTrouble)
{
  constexpr int kFlowsPerZone = 30;
  constexpr double kWorkMs = 200;
  StartDeployment(aDeployment);
  for (auto const& host : aDeployment.Hosts()) {
    host->SetWork(kWorkMs);
  }
  std::mt19937 random(7);
  std::uniform_real_distribution<double> pause(2500.0, 4500.0);
  for (int number = 0; number < kFlowsPerZone; ++number) {
    for (auto const* zone : { "a", "b", "c" }) {
      aDeployment.Open(zone, aDeployment.Route(2), pause(random));
    }
    aDeployment.RunUntil(Now() + 50, { 1 }, 2);
  }
  aDeployment.RunUntil(Now() + 5000, { 1 }, 2);
  auto& host = *aDeployment.Hosts().front();
  if (aTrouble) {
    host.SetQueueFull(true);
  }
  for (int loss = 0; loss < 6; ++loss) {
    if (aTrouble) {
      host.LoseNextRequest();
    }
    aDeployment.RunUntil(Now() + 3000, { 1 }, 2);
  }
  if (aTrouble) {
    host.SetQueueFull(false);
  }
  aDeployment.RunUntil(Now() + 2000, { 1 }, 2);
  WriteOpenings(aDeployment);
  std::size_t resets = 0;
  for (auto const& flow : aDeployment.Flows()) {
    resets += flow.mSystemResetAt > 0.0 ? 1 : 0;
  }
  return Verdict(
    "FLOW", resets, "open flows were reset by the system, all hosts live");
}

/// Adds a cold host to a service whose hosts stand in one zone.
int
ColdHost(Deployment& aDeployment, bool aTrouble)
{
  constexpr double kColdMs = 2000;
  constexpr double kColdRate = 2.0; // As in `ServiceText`.
  constexpr double kLimit = kColdRate * 1.5 + 5.0;
  constexpr double kWorkMs = 55;
  auto& store = aDeployment.TheStore();
  for (int number = 0; number < 4; ++number) {
    auto& host = aDeployment.AddHost("slips", "a");
    host.SetWork(kWorkMs);
    (void)store.Put("servers", host.Id(), host.Spec("ready"));
  }
  (void)store.Put("config",
                  "main",
                  Deployment::Configuration(7,
                                            aDeployment.RouteText(1, "slips"),
                                            Deployment::ServiceText("slips")));
  aDeployment.StartAll();
  aDeployment.RunUntil(Now() + 6000, { 1 }, 40);
  Host* added = nullptr;
  double startedAt = 0.0;
  if (aTrouble) {
    added = &aDeployment.AddHost("slips", "a");
    added->SetWork(kWorkMs * 1.6);
    added->SetColdFor(kColdMs);
    startedAt = Now();
    gRecord->Write("host   %s starts, cold for 2 s", added->Id().c_str());
    // The host writes at its start and every heartbeat.
    for (int beat = 0; beat < 3; ++beat) {
      (void)store.Put("servers", added->Id(), added->Spec("ready"));
      aDeployment.RunUntil(Now() + 1200, { 1 }, 40);
    }
  }
  aDeployment.RunUntil(Now() + 4000, { 1 }, 40);
  WriteOpenings(aDeployment);
  if (added == nullptr) {
    return Verdict("FAILBACK", 0, "no host was cold");
  }
  // Counted are requests that were sent and arrived within the same second.
  struct Counted
  {
    double mSentAt;
    double mArrivedAt;
  };
  std::vector<Counted> counted;
  for (auto const& opening : added->Openings()) {
    auto const sentAt =
      aDeployment.FlowOf(opening.mClient).mSentAt[opening.mCopy];
    if (opening.mArrivedAt <= startedAt + kColdMs) {
      counted.push_back({ sentAt, opening.mArrivedAt });
    }
  }
  std::size_t most = 0;
  std::size_t breaches = 0;
  for (auto const& first : counted) {
    auto const inside = static_cast<std::size_t>(
      std::count_if(counted.begin(), counted.end(), [&](auto const& aOther) {
        return aOther.mSentAt >= first.mSentAt &&
               aOther.mArrivedAt < first.mSentAt + 1000.0;
      }));
    most = std::max(most, inside);
    breaches += static_cast<double>(inside) > kLimit ? 1 : 0;
  }
  return Verdict("FAILBACK",
                 breaches,
                 "at most " + std::to_string(most) +
                   " requests in one second at the cold host; the limit is 8");
}

/// A foreign writer leaves a copy of a host's entry, with fields missing and
/// with the service that the host belonged to before.
int
ForeignCopy(Deployment& aDeployment, bool aTrouble)
{
  auto& store = aDeployment.TheStore();
  for (auto const* zone : { "a", "b", "c", "a", "b", "c" }) {
    auto& host = aDeployment.AddHost("app", zone);
    (void)store.Put("servers", host.Id(), host.Spec("ready"));
  }
  auto& other = aDeployment.AddHost("slips", "a");
  (void)store.Put("servers", other.Id(), other.Spec("ready"));
  (void)store.Put("config",
                  "main",
                  Deployment::Configuration(
                    7,
                    aDeployment.RouteText(1, "app") + "," +
                      aDeployment.RouteText(2, "slips"),
                    Deployment::ServiceText("app") + "," +
                      Deployment::ServiceText("slips")));
  aDeployment.StartAll();
  aDeployment.RunUntil(Now() + 5000, { 1, 2 }, 20);
  if (aTrouble) {
    (void)store.Put("servers",
                    "copy-of-" + other.Id(),
                    R"({"service":"app","address":")" + Text(other.Where()) +
                      R"(","zone":"a","slots":4,"state":"ready",)"
                      R"("coldLeftMs":0})");
  }
  aDeployment.RunUntil(Now() + 10'000, { 1, 2 }, 20);
  WriteOpenings(aDeployment);
  std::size_t foreign = 0;
  std::size_t own = 0;
  for (auto const& opening : other.Openings()) {
    auto const& route = aDeployment.FlowOf(opening.mClient).mRoute;
    ++(route == aDeployment.Route(1) ? foreign : own);
  }
  if (own == 0) {
    CannotRun("the service slips took no flow of its own");
  }
  return Verdict("ROUTE",
                 foreign,
                 "flows of a route to app were taken by the host of slips, " +
                   std::to_string(own) + " of its own route");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::fprintf(stderr, "usage: standin SCENARIO PROGRAM RECORD TROUBLE\n");
    return 2;
  }
  (void)std::signal(SIGPIPE, SIG_IGN);
  // The nodes are ended with this program.
  (void)std::signal(SIGALRM, [](int) { ::_exit(2); });
  (void)::alarm(kMaxRunSeconds);
  std::string const scenario = aArguments[1];
  gRecord = std::make_unique<Record>(aArguments[3]);
  bool const trouble = std::string(aArguments[4]) != "0";
  gRecord->Write("scenario %s, trouble %s",
                 scenario.c_str(),
                 trouble ? "on" : "off");
  std::map<std::string, std::function<int(Deployment&, bool)>> const scenarios{
    { "unreadable-entry", UnreadableEntry },
    { "stale-watch", StaleWatch },
    { "cold-host", ColdHost },
    { "full-queue", FullQueue },
    { "foreign-copy", ForeignCopy },
  };
  auto const found = scenarios.find(scenario);
  if (found == scenarios.end()) {
    CannotRun("no such scenario");
  }
  // Not destroyed: the stand-ins' threads use it until the process ends.
  gDeployment = new Deployment(aArguments[2], { "a", "b", "c" }, 6);
  int const status = found->second(*gDeployment, trouble);
  gDeployment->Stop();
  std::fflush(nullptr);
  std::_Exit(status);
}
