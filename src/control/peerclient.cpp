#include "control/peerclient.h"

#include "wire/generated/rhubarblane.grpc.pb.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include <chrono>

namespace rhubarblane
{

namespace
{

/** In bytes. The 22,000 objects of the design size take about 9 MB; gRPC's default limit is 4 MB. */
constexpr int MaximumReplySize = 64 * 1024 * 1024;

} // namespace

Outcome<wire::ConfigurationReply> fetchConfiguration(const PeerAddress &peer, Revision known, Milliseconds timeout)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(MaximumReplySize);
    // Balancers connect directly, even if the environment sets an HTTP proxy.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    const auto stub = wire::Peer::NewStub(
        grpc::CreateCustomChannel(formatPeerAddress(peer), grpc::InsecureChannelCredentials(), arguments));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(timeout.count()));
    wire::ConfigurationRequest request;
    request.set_known_revision(known.value());
    wire::ConfigurationReply reply;
    const grpc::Status status = stub->FetchConfiguration(&context, request, &reply);
    if (!status.ok()) {
        return Error {ErrorCode::Unavailable, {}, formatPeerAddress(peer) + ": " + status.error_message()};
    }
    return reply;
}

} // namespace rhubarblane
