#ifndef TARRAGONSILL_CALL_CHANNELS_HPP_INCLUDED
#define TARRAGONSILL_CALL_CHANNELS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include <grpcpp/grpcpp.h>
#include <tarragonsill_calls.grpc.pb.h>

/// Shared gRPC channels, one per address.
namespace tarragonsill {

class CallChannels
{
public:
  /// Returns whether an address is in a denied network.
  using IsDenied = std::function<bool(Endpoint)>;

  explicit CallChannels(IsDenied aIsDenied)
    : mIsDenied(std::move(aIsDenied))
  {
  }

  /// Returns the channel to an address. gRPC's own retries are disabled, since
  /// a call that is not idempotent must never be sent twice.
  std::shared_ptr<grpc::Channel> To(Endpoint aAddress)
  {
    std::lock_guard const lock(mMutex);
    auto& channel = mChannels[aAddress];
    if (!channel) {
      grpc::ChannelArguments arguments;
      arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
      arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
      arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
      channel = grpc::CreateCustomChannel(
        ToText(aAddress), grpc::InsecureChannelCredentials(), arguments);
    }
    return channel;
  }

  /// Waits until the channel is connected and returns whether it is. Without a
  /// connection nothing was sent, so the call has certainly not run.
  bool Connect(Endpoint aAddress, milliseconds aTimeout)
  {
    if (mIsDenied(aAddress)) {
      return false;
    }
    return To(aAddress)->WaitForConnected(std::chrono::system_clock::now() +
                                          aTimeout);
  }

private:
  IsDenied mIsDenied;
  std::mutex mMutex;
  std::map<Endpoint, std::shared_ptr<grpc::Channel>> mChannels;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_CALL_CHANNELS_HPP_INCLUDED
