// Stand-ins for the operators' platform, written from the pages PROTOCOL.md
// and DEPLOY.md: store, routers, hosts and clients, and entry VMs as separate
// processes. Everything uses loopback addresses and the real clock.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
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
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standin {

using u8 = std::uint8_t;
using u16 = std::uint16_t;
using u32 = std::uint32_t;
using u64 = std::uint64_t;

inline u64 NowUs()
{
  return static_cast<u64>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now().time_since_epoch())
      .count());
}

inline u64 UnixMs()
{
  return static_cast<u64>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

[[noreturn]] inline void CannotRun(std::string const& aWhy)
{
  std::fprintf(stderr, "case could not run: %s\n", aWhy.c_str());
  std::exit(2);
}

inline bool Trouble()
{
  auto const* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ------------------------------------------------------------------ record

class Record
{
public:
  explicit Record(std::string const& aFile)
    : mFile(std::fopen(aFile.c_str(), "w"))
    , mStart(NowUs())
  {
    if (mFile == nullptr) {
      CannotRun("cannot write " + aFile);
    }
  }
  void Line(char const* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    std::lock_guard const lock(mMutex);
    std::fprintf(mFile, "%9.3f ", static_cast<double>(NowUs() - mStart) / 1e6);
    va_list list;
    va_start(list, aFormat);
    std::vfprintf(mFile, aFormat, list);
    va_end(list);
    std::fputc('\n', mFile);
    std::fflush(mFile);
  }
  double Seconds(u64 aUs) const
  {
    return (static_cast<double>(aUs) - static_cast<double>(mStart)) / 1e6;
  }

private:
  FILE* mFile;
  u64 mStart;
  std::mutex mMutex;
};

// --------------------------------------------------------------- addresses

inline u32 Ip(int aA, int aB, int aC, int aD)
{
  return (u32(aA) << 24) | (u32(aB) << 16) | (u32(aC) << 8) | u32(aD);
}

inline std::string IpText(u32 aIp)
{
  return std::to_string(aIp >> 24) + "." + std::to_string((aIp >> 16) & 255) +
         "." + std::to_string((aIp >> 8) & 255) + "." +
         std::to_string(aIp & 255);
}

inline sockaddr_in Address(u32 aIp, u16 aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aIp);
  address.sin_port = htons(aPort);
  return address;
}

inline int BindUdp(u32 aIp, u16 aPort)
{
  int const fd =
    ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int const size = 4 << 20;
  (void)::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  auto const address = Address(aIp, aPort);
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr const*>(&address),
                       sizeof(address)) != 0) {
    CannotRun("cannot bind " + IpText(aIp) + ":" + std::to_string(aPort));
  }
  return fd;
}

/// Returns -1 if the address is in use.
inline int TryListenTcp(u32 aIp, u16 aPort, bool aNonBlocking)
{
  int const fd = ::socket(
    AF_INET, SOCK_STREAM | SOCK_CLOEXEC | (aNonBlocking ? SOCK_NONBLOCK : 0), 0);
  int const on = 1;
  (void)::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto const address = Address(aIp, aPort);
  if (fd < 0 ||
      ::bind(fd, reinterpret_cast<sockaddr const*>(&address),
             sizeof(address)) != 0 ||
      ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int ListenTcp(u32 aIp, u16 aPort, bool aNonBlocking)
{
  int const fd = TryListenTcp(aIp, aPort, aNonBlocking);
  if (fd < 0) {
    CannotRun("cannot listen on " + IpText(aIp) + ":" + std::to_string(aPort));
  }
  return fd;
}

// ------------------------------------------------------------------ packet

constexpr u8 kSyn = 1, kAck = 2, kFin = 16, kRst = 64, kBounced = 32;
constexpr std::size_t kHead = 36;

struct Packet
{
  u32 seq = 0, ack = 0, echo = 0, sum = 0, src = 0, dst = 0;
  u16 sport = 0, dport = 0;
  u8 flags = 0;
  std::string data;
};

inline void Put32(u8* aTo, u32 aValue)
{
  for (int i = 0; i < 4; ++i) {
    aTo[i] = u8(aValue >> (24 - 8 * i));
  }
}
inline void Put16(u8* aTo, u16 aValue)
{
  aTo[0] = u8(aValue >> 8);
  aTo[1] = u8(aValue);
}
inline u32 Get32(u8 const* aFrom)
{
  return (u32(aFrom[0]) << 24) | (u32(aFrom[1]) << 16) | (u32(aFrom[2]) << 8) |
         aFrom[3];
}
inline u16 Get16(u8 const* aFrom)
{
  return u16((aFrom[0] << 8) | aFrom[1]);
}

/// The keyed sum over all fields but echo, pad and BOUNCED.
inline u32 SumOf(Packet const& aPacket)
{
  u64 hash = 0x9e3779b97f4a7c15ULL;
  auto const add = [&](u64 aValue) {
    hash = (hash ^ aValue) * 0x100000001b3ULL;
    hash ^= hash >> 29;
  };
  add(aPacket.seq);
  add(aPacket.ack);
  add(aPacket.data.size());
  add(aPacket.dport);
  add(aPacket.src);
  add(aPacket.sport);
  add(aPacket.dst);
  add(aPacket.flags & u8(~kBounced));
  for (char const c : aPacket.data) {
    add(u8(c));
  }
  auto const sum = u32(hash ^ (hash >> 32));
  return sum == 0 ? 1 : sum;
}

inline std::string Encode(Packet const& aPacket)
{
  std::string bytes(kHead, '\0');
  auto* head = reinterpret_cast<u8*>(bytes.data());
  Put32(head, aPacket.seq);
  Put32(head + 4, aPacket.ack);
  Put16(head + 8, u16(aPacket.data.size()));
  Put32(head + 10, aPacket.echo);
  Put32(head + 14, SumOf(aPacket));
  Put16(head + 18, aPacket.dport);
  Put32(head + 20, aPacket.src);
  Put16(head + 24, aPacket.sport);
  Put32(head + 26, aPacket.dst);
  head[30] = aPacket.flags;
  return bytes + aPacket.data;
}

inline std::optional<Packet> Decode(u8 const* aBytes, std::size_t aSize)
{
  if (aSize < kHead) {
    return std::nullopt;
  }
  Packet packet;
  packet.seq = Get32(aBytes);
  packet.ack = Get32(aBytes + 4);
  packet.echo = Get32(aBytes + 10);
  packet.sum = Get32(aBytes + 14);
  packet.dport = Get16(aBytes + 18);
  packet.src = Get32(aBytes + 20);
  packet.sport = Get16(aBytes + 24);
  packet.dst = Get32(aBytes + 26);
  packet.flags = aBytes[30];
  if (Get16(aBytes + 8) != aSize - kHead) {
    return std::nullopt;
  }
  packet.data.assign(reinterpret_cast<char const*>(aBytes) + kHead,
                     aSize - kHead);
  return packet;
}

// ------------------------------------------------------------------- store

/// The metadata store: lists and watches, one revision counter.
class Store
{
public:
  Store(u32 aIp, u16 aPort) { Listen(aIp, aPort); }

  /// Answers at a further address.
  void Listen(u32 aIp, u16 aPort)
  {
    int const listener = ListenTcp(aIp, aPort, false);
    std::lock_guard const lock(mMutex);
    mListeners[aIp] = listener;
    std::thread([this, listener, aIp] { Accept(listener, aIp); }).detach();
  }
  /// Closes an address and the connections to it.
  void Close(u32 aIp)
  {
    std::lock_guard const lock(mMutex);
    ::shutdown(mListeners[aIp], SHUT_RDWR);
    ::close(mListeners[aIp]);
    mListeners.erase(aIp);
    for (auto const& [fd, at] : mConnections) {
      if (at == aIp) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    mChanged.notify_all();
  }

  u64 Put(std::string const& aKind, std::string const& aName,
          std::string const& aSpec)
  {
    std::lock_guard const lock(mMutex);
    auto& object = mObjects[aKind][aName];
    if (object.second == aSpec && object.first != 0) {
      return mRevision;
    }
    object = { ++mRevision, aSpec };
    mEvents.push_back({ aKind, mRevision,
                        "{\"object\":" + Json(aName, object) +
                          ",\"tombstone\":false}" });
    mChanged.notify_all();
    return mRevision;
  }

  u64 Remove(std::string const& aKind, std::string const& aName)
  {
    std::lock_guard const lock(mMutex);
    auto const found = mObjects[aKind].find(aName);
    if (found == mObjects[aKind].end()) {
      return mRevision;
    }
    auto object = found->second;
    mObjects[aKind].erase(found);
    object.first = ++mRevision;
    mEvents.push_back({ aKind, mRevision,
                        "{\"object\":" + Json(aName, object) +
                          ",\"tombstone\":true}" });
    mChanged.notify_all();
    return mRevision;
  }

  /// While set, each call of the VM with this address gets 503.
  void Refuse(u32 aIp, bool aRefuses)
  {
    std::lock_guard const lock(mMutex);
    if (aRefuses) {
      mRefused.insert(aIp);
    } else {
      mRefused.erase(aIp);
    }
    mChanged.notify_all();
  }
  void SetDown(bool aIsDown)
  {
    std::lock_guard const lock(mMutex);
    mIsDown = aIsDown;
    mChanged.notify_all();
  }
  bool IsDown()
  {
    std::lock_guard const lock(mMutex);
    return mIsDown;
  }
  u64 Calls() const { return mCalls; }

private:
  struct Event
  {
    std::string kind;
    u64 revision;
    std::string body;
  };
  using Object = std::pair<u64, std::string>;

  static std::string Json(std::string const& aName, Object const& aObject)
  {
    return "{\"meta\":{\"name\":\"" + aName +
           "\",\"revision\":" + std::to_string(aObject.first) +
           ",\"created\":1,\"finalizers\":[],\"deletePending\":false},"
           "\"spec\":" +
           aObject.second + ",\"status\":null}";
  }

  void Accept(int aListener, u32 aAt)
  {
    while (true) {
      sockaddr_in peer{};
      socklen_t size = sizeof(peer);
      int const fd = ::accept4(aListener, reinterpret_cast<sockaddr*>(&peer),
                               &size, SOCK_CLOEXEC);
      if (fd < 0) {
        std::lock_guard const lock(mMutex);
        if (mListeners.count(aAt) == 0) {
          return;
        }
        continue;
      }
      int const on = 1;
      (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      auto const ip = ntohl(peer.sin_addr.s_addr);
      {
        std::lock_guard const lock(mMutex);
        mConnections[fd] = aAt;
      }
      std::thread([this, fd, ip] {
        Serve(fd, ip);
        std::lock_guard const lock(mMutex);
        mConnections.erase(fd);
        ::close(fd);
      }).detach();
    }
  }

  void Serve(int aFd, u32 aIp)
  {
    std::string buffer;
    std::array<char, 4096> part{};
    while (true) {
      auto const end = buffer.find("\r\n\r\n");
      if (end == std::string::npos) {
        auto const size = ::recv(aFd, part.data(), part.size(), 0);
        if (size <= 0) {
          return;
        }
        buffer.append(part.data(), std::size_t(size));
        continue;
      }
      auto const line = buffer.substr(0, buffer.find("\r\n"));
      buffer.erase(0, end + 4);
      auto const answer = Answer(line, aIp);
      if (::send(aFd, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) {
        return;
      }
    }
  }

  static std::string Http(int aStatus, std::string const& aBody)
  {
    return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nContent-Type: "
           "application/json\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  std::string Answer(std::string const& aLine, u32 aIp)
  {
    ++mCalls;
    std::this_thread::sleep_for(std::chrono::milliseconds(4));
    auto const begin = aLine.find(' ') + 1;
    auto const target = aLine.substr(begin, aLine.find(' ', begin) - begin);
    auto const mark = target.find('?');
    std::map<std::string, std::string> query;
    if (mark != std::string::npos) {
      std::string rest = target.substr(mark + 1);
      while (!rest.empty()) {
        auto const next = std::min(rest.find('&'), rest.size());
        auto const item = rest.substr(0, next);
        auto const equals = item.find('=');
        query[item.substr(0, equals)] =
          equals == std::string::npos ? "" : item.substr(equals + 1);
        rest.erase(0, next + 1);
      }
    }
    std::string const prefix = "/objects/";
    auto const path = target.substr(0, mark);
    if (aLine.compare(0, 4, "GET ") != 0 ||
        path.compare(0, prefix.size(), prefix) != 0) {
      return Http(404, "{}");
    }
    auto const kind = path.substr(prefix.size());
    std::unique_lock lock(mMutex);
    auto const refuses = [&] { return mIsDown || mRefused.count(aIp) > 0; };
    if (refuses()) {
      return Http(503, "{}");
    }
    if (query.count("watch") == 0) {
      std::string items;
      auto const& objects = mObjects[kind];
      auto next = objects.upper_bound(query["after"]);
      int count = 0;
      // "about 500 or 1 MB at most"
      for (; next != objects.end() && count < 500; ++next, ++count) {
        auto const item = Json(next->first, next->second);
        if (count > 0 && items.size() + item.size() > 1'048'576) {
          break;
        }
        items += (count > 0 ? "," : "") + item;
      }
      return Http(200, "{\"items\":[" + items + "],\"more\":" +
                         (next != objects.end() ? "true" : "false") +
                         ",\"currentRev\":" + std::to_string(mRevision) + "}");
    }
    u64 const from = std::strtoull(query["watch"].c_str(), nullptr, 10);
    u64 const wait = std::strtoull(query["waitMs"].c_str(), nullptr, 10);
    std::string events;
    mChanged.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      events.clear();
      for (auto const& event : mEvents) {
        if (event.kind == kind && event.revision > from) {
          events += (events.empty() ? "" : ",") + event.body;
        }
      }
      return !events.empty() || refuses();
    });
    if (refuses()) {
      return Http(503, "{}");
    }
    return Http(200, "{\"events\":[" + events +
                       "],\"currentRev\":" + std::to_string(mRevision) + "}");
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<u32, int> mListeners;   ///< By address.
  std::map<int, u32> mConnections; ///< The address that they were made to.
  std::map<std::string, std::map<std::string, Object>> mObjects;
  std::deque<Event> mEvents;
  std::set<u32> mRefused;
  bool mIsDown = false;
  u64 mRevision = 100;
  std::atomic<u64> mCalls{ 0 };
};

// --------------------------------------------------------------- entry VMs

struct Vm
{
  std::string name;
  std::string zone;
  u32 ip = 0;
  pid_t pid = 0;
  std::vector<std::string> seeds;
  bool isFirstStart = true;
  std::atomic<bool> inRotation{ false };
  std::atomic<bool> removed{ false }; ///< The platform has taken it away.
  int misses = 2;
};

struct Deployment
{
  // Ports are the same on all machines.
  static constexpr u16 kPackets = 8172, kReady = 8167, kControl = 8166;
  static constexpr u16 kStorePort = 8169, kHostPort = 8080, kRoutePort = 8443;

  explicit Deployment(Record& aRecord)
    : record(aRecord)
  {
    block = FreeBlock();
    char name[] = "/tmp/standin-XXXXXX";
    if (::mkdtemp(name) == nullptr) {
      CannotRun("no temporary folder");
    }
    folder = name;
    storeIp = block | 1;
    store = std::make_unique<Store>(storeIp, kStorePort);
  }

  /// Returns a /24 of the loopback range that no other run uses: each run
  /// listens on its store's port.
  static u32 FreeBlock()
  {
    std::random_device random;
    for (int attempt = 0; attempt < 50; ++attempt) {
      u32 const block =
        Ip(127, 64 + int(random() % 128), int(random() % 256), 0);
      int const fd = TryListenTcp(block | 1, kStorePort, false);
      if (fd >= 0) {
        ::close(fd);
        return block;
      }
    }
    CannotRun("no free loopback addresses");
  }

  /// Begins a deployment. It is never destroyed, as threads use it; `EndAll`
  /// ends its processes.
  static Deployment& Begin(Record& aRecord)
  {
    Current() = new Deployment(aRecord);
    (void)std::atexit(EndAll);
    return *Current();
  }
  /// Kills all entry VMs; called from a signal handler.
  static void KillAll()
  {
    if (auto* const deployment = Current()) {
      for (auto const& vm : deployment->vms) {
        if (vm->pid > 0) {
          (void)::kill(vm->pid, SIGKILL);
        }
      }
    }
  }
  static void EndAll()
  {
    if (auto* const deployment = std::exchange(Current(), nullptr)) {
      deployment->End();
    }
  }

  u32 RouteIp() const { return block | 250; }

  Vm& AddVm(std::string const& aZone, int aNumber,
            std::vector<std::string> aSeeds, bool aIsFirstStart)
  {
    auto vm = std::make_unique<Vm>();
    vm->name = "front-" + aZone + "-" + std::to_string(aNumber);
    vm->zone = aZone;
    vm->ip = block | u32(10 + vms.size());
    vm->seeds = std::move(aSeeds);
    vm->isFirstStart = aIsFirstStart;
    std::lock_guard const lock(vmsMutex);
    vms.push_back(std::move(vm));
    return *vms.back();
  }

  static std::string Control(Vm const& aVm)
  {
    return IpText(aVm.ip) + ":" + std::to_string(kControl);
  }

  /// Writes the settings file of a VM.
  std::string WriteSettings(Vm const& aVm)
  {
    auto const file = folder + "/" + aVm.name + ".toml";
    std::string seeds;
    for (auto const& seed : aVm.seeds) {
      seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
    }
    auto const at = [&](u16 aPort) {
      return "\"" + IpText(aVm.ip) + ":" + std::to_string(aPort) + "\"\n";
    };
    std::ofstream out(file + ".new");
    out << "nodeName = \"" << aVm.name << "\"\nrole = \"entry\"\n"
        << "machineClass = \"front\"\nserves = [\"front\",\"control\"]\n"
        << "ip = \"" << IpText(aVm.ip) << "\"\nzone = \"" << aVm.zone
        << "\"\nregion = \"region\"\ninternalPortRange = [7720,7735]\n"
        << "seeds = [" << seeds << "]\nbootstrap = "
        << (aVm.isFirstStart ? "true" : "false")
        << "\ncountLoss = false\ndiscovery = \"platform\"\nentry = "
           "\"announce\"\nheartbeatIntervalMs = 1200\ncontracts = "
           "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\","
           "\"places\",\"platform\"]\nhash = \"mod\"\nproxyMode = \"echo\"\n"
        << "[zones]\n";
    for (auto const& zone : zones) {
      out << zone << " = \"region\"\n";
    }
    out << "[listen]\npacketAddr = " << at(kPackets) << "ready = " << at(kReady)
        << "control = " << at(kControl)
        << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = "
           "4100\nlinkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = "
           "2\nzones = 1\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = "
           "2\nstabilityWindowMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = "
           "3000\ngraceS = 6\nlossSlackMs = 200\nconfigPropagationMs = "
           "3000\nrollbackSlackMs = 250\nmaxStretchMs = "
           "12000\nwarmupBurstFactor = 1.5\ncoldSlack = "
           "5\nevacuationDelayMs = 5000\nrecoveryS = 12\nflowSlackMs = "
           "2000\nmaxFlowS = 60\n[platform]\naddress = \""
        << IpText(storeIp) << ":" << kStorePort << "\"\nproxyMode = \"objects\"\nwriteRateS = 400\nreadRateS = "
           "2000\nhistoryS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000\n";
    out.close();
    (void)::rename((file + ".new").c_str(), file.c_str());
    return file;
  }

  void Start(Vm& aVm)
  {
    auto const file = WriteSettings(aVm);
    auto const log = folder + "/" + aVm.name + ".log";
    aVm.pid = ::fork();
    if (aVm.pid == 0) {
      int const fd =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      auto const variable = "TARRAGONSILL_SETTINGS=" + file;
      char const* path = std::getenv("PATH");
      auto const pathVariable = std::string("PATH=") + (path ? path : "");
      std::array<char*, 3> environment = { const_cast<char*>(variable.c_str()),
                                           const_cast<char*>(
                                             pathVariable.c_str()),
                                           nullptr };
      // The command of deploy/system.toml.
      ::execle("target/tarragonsill", "target/tarragonsill", "node",
               "--metrics-port", "9464", static_cast<char*>(nullptr),
               environment.data());
      ::_exit(127);
    }
    aVm.removed = false;
    record.Line("vm %s started at %s", aVm.name.c_str(),
                IpText(aVm.ip).c_str());
  }

  /// Waits for a process and reports how it ended.
  int Reap(Vm& aVm)
  {
    int status = 0;
    if (aVm.pid > 0) {
      (void)::waitpid(aVm.pid, &status, 0);
      aVm.pid = 0;
    }
    return status;
  }
  void Signal(Vm& aVm, int aSignal)
  {
    if (aVm.pid > 0) {
      record.Line("vm %s gets signal %d", aVm.name.c_str(), aSignal);
      (void)::kill(aVm.pid, aSignal);
    }
  }
  void Kill(Vm& aVm)
  {
    Signal(aVm, SIGKILL);
    (void)Reap(aVm);
  }

  /// Asks each VM twice a second whether it is ready, as the platform does.
  void StartRouters()
  {
    std::thread([this] {
      while (!stop) {
        std::vector<Vm*> all;
        {
          std::lock_guard const lock(vmsMutex);
          for (auto const& vm : vms) {
            all.push_back(vm.get());
          }
        }
        for (auto* vm : all) {
          bool const isReady = !vm->removed && AskReady(vm->ip);
          vm->misses = isReady ? 0 : vm->misses + 1;
          bool const now = isReady || (vm->misses < 2 && vm->inRotation);
          if (vm->inRotation.exchange(now) != now) {
            record.Line("vm %s %s rotation", vm->name.c_str(),
                        now ? "in" : "out of");
          }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
      }
    }).detach();
  }

  static bool AskReady(u32 aIp)
  {
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval const time{ 0, 200000 };
    (void)::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    (void)::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
    auto const address = Address(aIp, kReady);
    bool isReady = false;
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&address),
                  sizeof(address)) == 0) {
      std::string const request =
        "GET /readiness HTTP/1.1\r\nHost: vm\r\n\r\n";
      (void)::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
      std::array<char, 256> answer{};
      auto const size = ::recv(fd, answer.data(), answer.size() - 1, 0);
      isReady = size > 12 && std::string(answer.data(), 12) == "HTTP/1.1 200";
    }
    ::close(fd);
    return isReady;
  }

  /// The VM to which the routers send a packet of a client.
  Vm* Route(std::string const& aZone, Packet const& aPacket)
  {
    std::lock_guard const lock(vmsMutex);
    std::vector<Vm*> zoneVms, ready;
    for (auto const& vm : vms) {
      if (vm->zone == aZone && !vm->removed) {
        zoneVms.push_back(vm.get());
        if (vm->inRotation) {
          ready.push_back(vm.get());
        }
      }
    }
    if (ready.empty()) {
      for (auto const& vm : vms) {
        if (vm->inRotation) {
          ready.push_back(vm.get()); // The nearest zones.
        }
      }
    } else if (2 * ready.size() < zoneVms.size()) {
      ready = zoneVms;
    }
    if (ready.empty()) {
      return nullptr;
    }
    u64 hash = (u64(aPacket.src) << 32) | aPacket.dst;
    hash = (hash ^ (u64(aPacket.sport) << 16) ^ aPacket.dport) *
           0x9e3779b97f4a7c15ULL;
    return ready[(hash >> 33) % ready.size()];
  }

  bool WaitUntilReady(double aSeconds)
  {
    auto const end = NowUs() + u64(aSeconds * 1e6);
    while (NowUs() < end) {
      bool all = true;
      {
        std::lock_guard const lock(vmsMutex);
        for (auto const& vm : vms) {
          all = all && (vm->inRotation || vm->pid == 0);
        }
      }
      if (all) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  static Deployment*& Current()
  {
    static Deployment* sCurrent = nullptr;
    return sCurrent;
  }
  void End()
  {
    stop = true;
    std::lock_guard const lock(vmsMutex);
    for (auto const& vm : vms) {
      if (vm->pid > 0) {
        (void)::kill(vm->pid, SIGCONT);
        (void)::kill(vm->pid, SIGKILL);
        (void)::waitpid(vm->pid, nullptr, 0);
        vm->pid = 0;
      }
    }
    if (std::getenv("KEEP") == nullptr) {
      for (auto const& vm : vms) {
        ::unlink((folder + "/" + vm->name + ".toml").c_str());
        ::unlink((folder + "/" + vm->name + ".log").c_str());
      }
      ::rmdir(folder.c_str());
    }
  }

  Record& record;
  u32 block = 0;
  u32 storeIp = 0; ///< As the settings name it.
  std::string folder;
  std::vector<std::string> zones;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Vm>> vms;
  std::mutex vmsMutex;
  std::atomic<bool> stop{ false };
};

// ------------------------------------------------------------- event loop

/// Timers and sockets of hosts and clients, all in one thread.
class Loop
{
public:
  void At(u64 aUs, std::function<void()> aCall)
  {
    mTimers.push({ aUs, mNext++, std::move(aCall) });
  }
  void After(double aMs, std::function<void()> aCall)
  {
    At(NowUs() + u64(aMs * 1000), std::move(aCall));
  }
  void OnReadable(int aFd, std::function<void()> aCall)
  {
    mReaders[aFd] = std::move(aCall);
  }
  void Forget(int aFd) { mReaders.erase(aFd); }
  void Stop() { mStop = true; }

  void Run()
  {
    while (!mStop) {
      while (!mTimers.empty() && mTimers.top().at <= NowUs()) {
        auto const call = mTimers.top().call;
        mTimers.pop();
        call();
        if (mStop) {
          return;
        }
      }
      std::vector<pollfd> entries;
      for (auto const& [fd, call] : mReaders) {
        entries.push_back({ fd, POLLIN, 0 });
      }
      int wait = 20;
      if (!mTimers.empty()) {
        auto const now = NowUs();
        auto const at = mTimers.top().at;
        wait = at <= now ? 0 : int(std::min<u64>(20, (at - now) / 1000));
      }
      if (::poll(entries.data(), nfds_t(entries.size()), wait) <= 0) {
        continue;
      }
      for (auto const& entry : entries) {
        if (entry.revents == 0) {
          continue;
        }
        auto const found = mReaders.find(entry.fd);
        if (found != mReaders.end()) {
          auto const call = found->second;
          call();
        }
      }
    }
  }

private:
  struct Timer
  {
    u64 at;
    u64 order;
    std::function<void()> call;
    bool operator<(Timer const& aOther) const
    {
      return std::pair(at, order) > std::pair(aOther.at, aOther.order);
    }
  };
  std::priority_queue<Timer> mTimers;
  std::map<int, std::function<void()>> mReaders;
  u64 mNext = 0;
  bool mStop = false;
};

// -------------------------------------------------------------------- hosts

struct FlowId
{
  u32 src = 0;
  u16 sport = 0;
  u32 dst = 0;
  u16 dport = 0;
  auto operator<=>(FlowId const&) const = default;
};

inline FlowId IdOf(Packet const& aPacket)
{
  return { aPacket.src, aPacket.sport, aPacket.dst, aPacket.dport };
}

class Host
{
public:
  struct Options
  {
    std::string id; ///< For instance "i-7f3a91c2".
    std::string service;
    std::string zone;
    u32 ip = 0;
    int slots = 4;
    double workMs = 55;
    double coldMs = 0; ///< How long it is cold after its start.
    double coldWorkMs = 0; ///< Work of a request while it is cold, if set.
  };

  Host(Loop& aLoop, Deployment& aDeployment, Options aOptions)
    : mLoop(aLoop)
    , mDeployment(aDeployment)
    , mOptions(std::move(aOptions))
    , mBorn(UnixMs())
    , mStarted(NowUs())
    , mRandom(std::hash<std::string>{}(mOptions.id))
  {
    mIdentity = std::strtoull(
      mOptions.id.substr(mOptions.id.rfind('-') + 1).c_str(), nullptr, 16);
    Listen();
  }
  ~Host() { Close(); }

  /// Ends the process; it starts again under the same id, and knows nothing of
  /// before.
  void Restart(double aDownMs, double aColdMs)
  {
    Close();
    mFlows.clear();
    mQueue.clear();
    isDown = true;
    mLoop.After(aDownMs, [this, aColdMs] {
      isDown = false;
      mBorn = UnixMs();
      mBeats = 0;
      mBusy = 0;
      TurnCold(aColdMs);
      Listen();
      Beat();
    });
  }

  std::string const& Id() const { return mOptions.id; }
  Options const& Settings() const { return mOptions; }
  double ColdLeftMs() const
  {
    return std::max(0.0, mOptions.coldMs -
                           static_cast<double>(NowUs() - mStarted) / 1000);
  }

  /// Makes the host cold from now on; its next heartbeat says so.
  void TurnCold(double aMs)
  {
    mStarted = NowUs();
    mOptions.coldMs = aMs;
  }

  /// Writes its entry; a host does so about each heartbeat.
  void Beat()
  {
    if (isDown || mDeployment.store->IsDown()) {
      return;
    }
    mDeployment.store->Put(
      "servers", mOptions.id,
      "{\"service\":\"" + mOptions.service + "\",\"address\":\"" +
        IpText(mOptions.ip) + ":" + std::to_string(Deployment::kHostPort) +
        "\",\"zone\":\"" + mOptions.zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(mOptions.slots) +
        ",\"state\":\"" + (isDraining ? "draining" : "ready") +
        "\",\"coldLeftMs\":" + std::to_string(int(ColdLeftMs())) +
        ",\"seq\":" + std::to_string(++mBeats) +
        ",\"born\":" + std::to_string(mBorn) + "}");
  }
  void KeepBeating(double aEveryMs)
  {
    if (isSilent) {
      return;
    }
    Beat();
    mLoop.After(aEveryMs, [this, aEveryMs] { KeepBeating(aEveryMs); });
  }

  bool isDraining = false;
  bool isSilent = false;
  bool isDown = false;
  /// The work of the next request in ms, if it differs from request to request.
  std::function<double()> drawWorkMs;
  /// Called when a flow has opened at this host.
  std::function<void(Host&, FlowId)> onOpen;
  /// Called with the first packet of a flow that this host takes.
  std::function<void(Host&, Packet const&)> onOpening;
  /// Called when a request begins to run.
  std::function<void(Host&, std::string const& aRequest, FlowId)> onRun;
  /// Called when the host resets a flow that it does not hold.
  std::function<void(Host&, Packet const&)> onReset;
  /// Whether the network loses a packet that this host sends.
  std::function<bool(Host&, Packet const&)> losesOutgoing;

private:
  struct Flow
  {
    u32 isn = 0;
    u32 next = 0;     ///< The sequence number of the next byte to send.
    u32 expected = 0; ///< The next byte from the client.
    u32 echo = 0;
    bool isOpen = false;
    std::string input;
    std::string answer; ///< Sent and not yet acknowledged.
    u32 answerAt = 0;
    int tries = 0;
    u64 generation = 0;
  };

  void Listen()
  {
    mUdp = BindUdp(mOptions.ip, Deployment::kHostPort);
    mTcp = ListenTcp(mOptions.ip, Deployment::kHostPort, true);
    mLoop.OnReadable(mUdp, [this] { Read(); });
    mLoop.OnReadable(mTcp, [this] {
      int const fd = ::accept4(mTcp, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        ::close(fd);
      }
    });
  }
  void Close()
  {
    for (int* fd : { &mUdp, &mTcp }) {
      if (*fd >= 0) {
        mLoop.Forget(*fd);
        ::close(*fd);
        *fd = -1;
      }
    }
  }

  void Read()
  {
    std::array<u8, 2048> bytes{};
    while (mUdp >= 0) {
      auto const size = ::recv(mUdp, bytes.data(), bytes.size(), 0);
      if (size < 0) {
        return;
      }
      if (size < 8) {
        continue;
      }
      u64 const identity =
        (u64(Get32(bytes.data())) << 32) | Get32(bytes.data() + 4);
      auto const packet = Decode(bytes.data() + 8, std::size_t(size) - 8);
      if (!packet || (identity != 0 && identity != mIdentity) || isSilent) {
        continue;
      }
      if (packet->sum != SumOf(*packet)) {
        mDeployment.record.Line("host %s: packet was changed on its way",
                                mOptions.id.c_str());
        continue;
      }
      Handle(*packet);
    }
  }

  void Handle(Packet const& aPacket)
  {
    auto const id = IdOf(aPacket);
    auto found = mFlows.find(id);
    if (aPacket.flags & kSyn) {
      if (found == mFlows.end()) {
        Flow flow;
        flow.isn = u32(mRandom());
        flow.next = flow.isn + 1;
        flow.expected = aPacket.seq + 1;
        found = mFlows.emplace(id, flow).first;
        found->second.echo = aPacket.echo;
        if (onOpening) {
          onOpening(*this, aPacket);
        }
        SendSynAck(id);
        RetrySynAck(id, 200);
        return;
      }
      found->second.echo = aPacket.echo;
      if (!found->second.isOpen) {
        SendSynAck(id);
      }
      return;
    }
    if (aPacket.flags & kRst) {
      mFlows.erase(id);
      return;
    }
    if (found == mFlows.end() && (aPacket.flags & kFin)) {
      return; // The flow has ended here; the client has its FIN.
    }
    bool const isForeign = found != mFlows.end() && !found->second.isOpen &&
                           aPacket.ack != found->second.next;
    if (found == mFlows.end() || isForeign) {
      Packet reset;
      reset.flags = kRst;
      reset.seq = aPacket.ack;
      reset.echo = aPacket.echo;
      if (onReset) {
        onReset(*this, aPacket);
      }
      if (isForeign) {
        mFlows.erase(found);
      }
      Send(id, reset);
      return;
    }
    auto& flow = found->second;
    flow.echo = aPacket.echo;
    if (!flow.isOpen && onOpen) {
      onOpen(*this, id);
    }
    flow.isOpen = true;
    if (!flow.answer.empty() &&
        i32(aPacket.ack - (flow.answerAt + u32(flow.answer.size()))) >= 0) {
      flow.answer.clear();
      ++flow.generation;
    }
    if (aPacket.data.empty()) {
      if (aPacket.flags & kFin) {
        Packet close;
        close.flags = kAck | kFin;
        close.seq = flow.next;
        close.ack = aPacket.seq + 1;
        close.echo = flow.echo;
        Send(id, close);
        mFlows.erase(found);
      }
      return;
    }
    if (aPacket.seq != flow.expected) {
      if (!flow.answer.empty()) {
        SendAnswer(id, flow);
      }
      return;
    }
    flow.expected += u32(aPacket.data.size());
    flow.input += aPacket.data;
    auto const end = flow.input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    auto const mark = flow.input.find("Request-Id: ");
    auto const request =
      flow.input.substr(mark + 12, flow.input.find("\r\n", mark) - mark - 12);
    flow.input.clear();
    mQueue.push_back({ id, request });
    StartWork();
  }

  void StartWork()
  {
    while (mBusy < mOptions.slots && !mQueue.empty()) {
      auto const [id, request] = mQueue.front();
      mQueue.pop_front();
      ++mBusy;
      if (onRun) {
        onRun(*this, request, id);
      }
      auto const workMs = ColdLeftMs() > 0 && mOptions.coldWorkMs > 0
                            ? mOptions.coldWorkMs
                          : drawWorkMs ? drawWorkMs()
                                       : mOptions.workMs;
      mLoop.After(workMs, [this, id = id, request = request, born = mBorn] {
        if (born != mBorn) {
          return; // The process that ran it has ended.
        }
        --mBusy;
        auto const found = mFlows.find(id);
        if (found != mFlows.end()) {
          auto& flow = found->second;
          std::string const body = "answer to " + request;
          flow.answer = "HTTP/1.1 200 OK\r\nServer-Seal: " + mOptions.id +
                        "\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body;
          flow.answerAt = flow.next;
          flow.next += u32(flow.answer.size());
          flow.tries = 0;
          SendAnswer(id, flow);
          RetryAnswer(id, ++flow.generation, 200);
        }
        StartWork();
      });
    }
  }

  void SendAnswer(FlowId aId, Flow const& aFlow)
  {
    Packet packet;
    packet.flags = kAck;
    packet.seq = aFlow.answerAt;
    packet.ack = aFlow.expected;
    packet.echo = aFlow.echo;
    packet.data = aFlow.answer;
    Send(aId, packet);
  }
  void RetryAnswer(FlowId aId, u64 aGeneration, double aMs)
  {
    mLoop.After(aMs, [this, aId, aGeneration, aMs] {
      auto const found = mFlows.find(aId);
      if (found == mFlows.end() || found->second.answer.empty() ||
          found->second.generation != aGeneration ||
          ++found->second.tries > 8) {
        return;
      }
      SendAnswer(aId, found->second);
      RetryAnswer(aId, aGeneration, std::min(2 * aMs, 1600.0));
    });
  }
  void SendSynAck(FlowId aId)
  {
    auto const& flow = mFlows.at(aId);
    Packet packet;
    packet.flags = kSyn | kAck;
    packet.seq = flow.isn;
    packet.ack = flow.expected;
    packet.echo = flow.echo;
    Send(aId, packet);
  }
  void RetrySynAck(FlowId aId, double aMs)
  {
    mLoop.After(aMs, [this, aId, aMs] {
      auto const found = mFlows.find(aId);
      if (found == mFlows.end() || found->second.isOpen ||
          ++found->second.tries > 8) {
        return;
      }
      SendSynAck(aId);
      RetrySynAck(aId, std::min(2 * aMs, 1600.0));
    });
  }

  /// Sends to the client directly.
  void Send(FlowId aId, Packet aPacket)
  {
    aPacket.src = aId.dst;
    aPacket.sport = aId.dport;
    aPacket.dst = aId.src;
    aPacket.dport = aId.sport;
    if (losesOutgoing && losesOutgoing(*this, aPacket)) {
      return;
    }
    auto const bytes = Encode(aPacket);
    auto const to = Address(aId.src, Deployment::kPackets);
    (void)::sendto(mUdp, bytes.data(), bytes.size(), 0,
                   reinterpret_cast<sockaddr const*>(&to), sizeof(to));
  }

  using i32 = std::int32_t;

  Loop& mLoop;
  Deployment& mDeployment;
  Options mOptions;
  u64 mBorn;
  u64 mStarted;
  std::mt19937 mRandom;
  u64 mIdentity = 0;
  int mUdp = -1;
  int mTcp = -1;
  u64 mBeats = 0;
  int mBusy = 0;
  std::map<FlowId, Flow> mFlows;
  std::deque<std::pair<FlowId, std::string>> mQueue;
};

// ------------------------------------------------------------------ clients

/// The clients of one zone; each request takes a flow of its own.
class Clients
{
public:
  struct Attempt
  {
    std::string request;
    u32 flowSeq = 0;
    u32 acked = 0; ///< What the client has acknowledged.
    u32 echo = 0;
    u64 sentAt = 0;
    int synCopies = 0;
    int tries = 0;
    bool isOpen = false;
    bool hasEnded = false;
    std::string data; ///< The request that is waiting for its answer.
    u32 dataAt = 0;   ///< Its sequence number.
    int number = 0;   ///< Requests so far.
    int more = 0;     ///< Requests that follow on the same flow.
    double pauseMs = 0;
    double budgetMs = 0;
    std::string method;
    std::string outcome;
    Vm* lastVm = nullptr;
  };

  Clients(Loop& aLoop, Deployment& aDeployment, std::string aZone, u32 aIp)
    : mLoop(aLoop)
    , mDeployment(aDeployment)
    , mZone(std::move(aZone))
    , mIp(aIp)
    , mRandom(aIp)
  {
    mUdp = BindUdp(aIp, Deployment::kPackets);
    mLoop.OnReadable(mUdp, [this] { Read(); });
  }

  /// Sends a request over a new flow, and more after it, with pauses. Returns
  /// the flow's port.
  u16 Send(std::string const& aMethod, double aBudgetMs, u16 aRoutePort,
           int aMore = 0, double aPauseMs = 0)
  {
    auto const port = mNextPort++;
    auto& attempt = mAttempts[port];
    attempt.flowSeq = u32(mRandom());
    attempt.dataAt = attempt.flowSeq + 1;
    attempt.sentAt = NowUs();
    attempt.method = aMethod;
    attempt.budgetMs = aBudgetMs;
    attempt.more = aMore;
    attempt.pauseMs = aPauseMs;
    NewRequest(port);
    mRoutePorts[port] = aRoutePort;
    SendSyn(port);
    mLoop.After(200, [this, port] { CopySyn(port); });
    mLoop.After(600, [this, port] { CopySyn(port); });
    mLoop.After(1400, [this, port] {
      if (!mAttempts[port].isOpen) {
        EndAttempt(port, "no answer to SYN");
      }
    });
    return port;
  }

  Attempt& At(u16 aPort) { return mAttempts[aPort]; }
  std::map<u16, Attempt> const& All() const { return mAttempts; }
  u32 Address() const { return mIp; }

  /// Called when a reset arrives on a flow.
  std::function<void(u16, Attempt&, Packet const&, bool aIsOfSystem)> onReset;
  std::function<void(u16, Attempt&, Packet const&)> onSynAck;
  std::function<void(u16, Attempt&)> onSend;

  /// How many requests were answered.
  int Answered() const { return mAnswered; }

private:
  void NewRequest(u16 aPort)
  {
    auto& attempt = mAttempts[aPort];
    auto const number = ++attempt.number;
    attempt.request = mZone + "-" + std::to_string(aPort) + "-" +
                      std::to_string(number) + "-" +
                      std::to_string(::getpid());
    attempt.data = attempt.method + " / HTTP/1.1\r\nRequest-Id: " +
                   attempt.request + "\r\n\r\n";
    mLoop.After(attempt.budgetMs, [this, aPort, number] {
      auto const& current = mAttempts[aPort];
      if (current.number == number && !current.data.empty()) {
        EndAttempt(aPort, "time budget over");
      }
    });
  }

  Packet Make(u16 aPort) const
  {
    Packet packet;
    packet.src = mIp;
    packet.sport = aPort;
    packet.dst = mDeployment.RouteIp();
    packet.dport = mRoutePorts.at(aPort);
    return packet;
  }
  void Transmit(u16 aPort, Packet const& aPacket)
  {
    auto* const vm = mDeployment.Route(mZone, aPacket);
    auto& attempt = mAttempts[aPort];
    if (vm == nullptr) {
      return;
    }
    attempt.lastVm = vm;
    auto const bytes = Encode(aPacket);
    auto const to = standin::Address(vm->ip, Deployment::kPackets);
    (void)::sendto(mUdp, bytes.data(), bytes.size(), 0,
                   reinterpret_cast<sockaddr const*>(&to), sizeof(to));
  }
  void SendSyn(u16 aPort)
  {
    auto& attempt = mAttempts[aPort];
    auto packet = Make(aPort);
    packet.flags = kSyn;
    packet.seq = attempt.flowSeq;
    packet.ack = u32(attempt.synCopies);
    Transmit(aPort, packet);
  }
  void CopySyn(u16 aPort)
  {
    auto& attempt = mAttempts[aPort];
    if (!attempt.isOpen && !attempt.hasEnded) {
      ++attempt.synCopies;
      SendSyn(aPort);
    }
  }
  void SendClose(u16 aPort)
  {
    auto& attempt = mAttempts[aPort];
    auto packet = Make(aPort);
    packet.flags = kAck | kFin;
    packet.seq = attempt.dataAt;
    packet.ack = attempt.acked;
    packet.echo = attempt.echo;
    Transmit(aPort, packet);
  }
  void SendAck(u16 aPort)
  {
    auto& attempt = mAttempts[aPort];
    auto packet = Make(aPort);
    packet.flags = kAck;
    packet.seq = attempt.dataAt;
    packet.ack = attempt.acked;
    packet.echo = attempt.echo;
    Transmit(aPort, packet);
  }
  void SendData(u16 aPort, int aNumber, double aRetryMs)
  {
    auto& attempt = mAttempts[aPort];
    if (attempt.hasEnded || attempt.number != aNumber || attempt.data.empty()) {
      return;
    }
    auto packet = Make(aPort);
    packet.flags = kAck;
    packet.seq = attempt.dataAt;
    packet.ack = attempt.acked;
    packet.echo = attempt.echo;
    packet.data = attempt.data;
    Transmit(aPort, packet);
    if (onSend) {
      onSend(aPort, attempt);
    }
    ++attempt.tries;
    mLoop.After(aRetryMs, [this, aPort, aNumber, aRetryMs] {
      SendData(aPort, aNumber, std::min(2 * aRetryMs, 1600.0));
    });
  }
  void EndAttempt(u16 aPort, std::string const& aOutcome)
  {
    auto& attempt = mAttempts[aPort];
    if (!attempt.hasEnded) {
      attempt.hasEnded = true;
      attempt.outcome = aOutcome;
    }
  }

  void Read()
  {
    std::array<u8, 2048> bytes{};
    while (true) {
      auto const size = ::recv(mUdp, bytes.data(), bytes.size(), 0);
      if (size < 0) {
        return;
      }
      if (auto const packet = Decode(bytes.data(), std::size_t(size))) {
        Handle(*packet);
      }
    }
  }

  void Handle(Packet const& aPacket)
  {
    auto const found = mAttempts.find(aPacket.dport);
    if (found == mAttempts.end()) {
      return;
    }
    auto const port = aPacket.dport;
    auto& attempt = found->second;
    if (aPacket.flags & kRst) {
      bool const isOfSystem = aPacket.sum == 0;
      if (!isOfSystem && aPacket.sum != SumOf(aPacket)) {
        return;
      }
      if (attempt.hasEnded) {
        return;
      }
      if (onReset) {
        onReset(port, attempt, aPacket, isOfSystem);
      }
      EndAttempt(port, std::string(attempt.isOpen ? "reset" : "refused") +
                         (isOfSystem ? " by the system" : " by a host"));
      return;
    }
    if (aPacket.sum != SumOf(aPacket)) {
      return;
    }
    // Both ends place in their packets the last echo that they received.
    attempt.echo = aPacket.echo;
    if (aPacket.flags & kSyn) {
      if (onSynAck) {
        onSynAck(port, attempt, aPacket);
      }
      if (!attempt.isOpen && !attempt.hasEnded) {
        attempt.isOpen = true;
        attempt.acked = aPacket.seq + 1;
        SendAck(port);
        SendData(port, attempt.number, 200);
      }
      return;
    }
    if (!aPacket.data.empty() && aPacket.seq == attempt.acked &&
        !attempt.hasEnded) {
      attempt.acked += u32(aPacket.data.size());
      attempt.dataAt += u32(attempt.data.size());
      attempt.data.clear();
      ++mAnswered;
      if (attempt.more-- <= 0) {
        EndAttempt(port, "closed after its last answer");
        SendClose(port);
        return;
      }
      SendAck(port);
      mLoop.After(attempt.pauseMs, [this, port] {
        if (!mAttempts[port].hasEnded) {
          NewRequest(port);
          SendData(port, mAttempts[port].number, 200);
        }
      });
    }
  }

  Loop& mLoop;
  Deployment& mDeployment;
  std::string mZone;
  u32 mIp;
  std::mt19937 mRandom;
  int mUdp = -1;
  int mAnswered = 0;
  u16 mNextPort = 10000;
  std::map<u16, Attempt> mAttempts;
  std::map<u16, u16> mRoutePorts;
};

} // namespace standin
