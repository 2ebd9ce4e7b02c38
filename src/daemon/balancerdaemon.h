#ifndef RHUBARBLANE_DAEMON_BALANCERDAEMON_H
#define RHUBARBLANE_DAEMON_BALANCERDAEMON_H

#include "balancer/balancercore.h"
#include "daemon/durationsummary.h"
#include "daemon/eventloop.h"
#include "daemon/fabricio.h"
#include "daemon/logs.h"
#include "daemon/sealedtransport.h"
#include "daemon/settings.h"
#include "daemon/statusserver.h"

#include <memory>
#include <optional>
#include <string>

namespace rhubarblane
{

/** The process of the role `balancer`. */
class BalancerDaemon
{
public:
    /** The references must outlive the daemon. */
    BalancerDaemon(
        const Settings &settings, Incarnation incarnation, EventLoop &loop, FabricIo fabric, SealedTransport peers);

    /** Applies the configuration file and serves HTTP. Returns an error if one of them cannot be used. */
    std::optional<Error> start();

    std::string metrics() const;
    web::json::value dump() const;

private:
    void receivePackets();
    void receiveMessages();
    void tick(Timestamp now);
    void terminate();
    void perform();

    const Settings &settings_;
    EventLoop &loop_;
    FabricIo fabric_;
    SealedTransport peers_;
    BalancerCore core_;
    LimitedLog limitedLog_;
    DurationSummary rounds_;
    std::optional<Timestamp> leaveAt_;
    std::unique_ptr<StatusServer> http_;
    std::uint64_t loggedNoTarget_ = 0;
    std::uint64_t loggedUnknownService_ = 0;
};

} // namespace rhubarblane

#endif
