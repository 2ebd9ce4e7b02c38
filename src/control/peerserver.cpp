#include "control/peerserver.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

#include <chrono>

namespace rhubarblane
{

namespace
{

/** Limit of the server's threads; a balancer serves only a few fetches per second. */
constexpr int MaximumThreads = 8;
constexpr std::chrono::seconds StopTimeout(1);

} // namespace

PeerServer::PeerServer(const ConfigurationCore &core)
    : core_(core)
{
}

PeerServer::~PeerServer()
{
    stop();
}

std::optional<Error> PeerServer::start(const std::string &address)
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(this);
    // Without this, a second process could listen on the same port and receive part of the requests.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    grpc::ResourceQuota quota("peer");
    quota.SetMaxThreads(MaximumThreads);
    builder.SetResourceQuota(quota);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0) {
        server_.reset();
        return Error {ErrorCode::Unavailable, "peerListenAddress", "cannot listen on " + address};
    }
    port_ = static_cast<std::uint16_t>(port);
    return std::nullopt;
}

void PeerServer::stop()
{
    if (server_) {
        server_->Shutdown(std::chrono::system_clock::now() + StopTimeout);
        server_->Wait();
        server_.reset();
        port_ = 0;
    }
}

grpc::Status PeerServer::FetchConfiguration(grpc::ServerContext *context,
                                            const wire::ConfigurationRequest *request,
                                            wire::ConfigurationReply *reply)
{
    *reply = core_.replyTo(*request);
    return grpc::Status::OK;
}

} // namespace rhubarblane
