#ifndef RHUBARBLANE_CONTROL_PEERSERVER_H
#define RHUBARBLANE_CONTROL_PEERSERVER_H

#include "base/outcome.h"
#include "control/configurationcore.h"
#include "wire/generated/rhubarblane.grpc.pb.h"

#include <grpcpp/server.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace rhubarblane
{

/** Serves the configuration to peers by gRPC. */
class PeerServer : private wire::Peer::Service
{
public:
    explicit PeerServer(const ConfigurationCore &core);
    ~PeerServer() override;

    /** Listens on an "IP:PORT" address; port 0 selects a free port. */
    std::optional<Error> start(const std::string &address);
    void stop();

    /** Returns the port in use; 0 if the server is not started. */
    std::uint16_t port() const
    {
        return port_;
    }

private:
    grpc::Status FetchConfiguration(grpc::ServerContext *context,
                                    const wire::ConfigurationRequest *request,
                                    wire::ConfigurationReply *reply) override;

    const ConfigurationCore &core_;
    std::unique_ptr<grpc::Server> server_;
    std::uint16_t port_ = 0;
};

} // namespace rhubarblane

#endif
