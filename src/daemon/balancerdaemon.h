#ifndef RHUBARBLANE_DAEMON_BALANCERDAEMON_H
#define RHUBARBLANE_DAEMON_BALANCERDAEMON_H

#include "balancer/balancercore.h"
#include "control/controlserver.h"
#include "daemon/fabricio.h"
#include "daemon/sealedtransport.h"
#include "daemon/settings.h"
#include "membership/membershipcore.h"
#include "runtime/durationsummary.h"
#include "runtime/eventloop.h"
#include "runtime/logs.h"

#include <cpprest/json.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The process of the role `balancer`. */
class BalancerDaemon
{
public:
    /** `settings` and `loop` must outlive the daemon. */
    BalancerDaemon(
        const Settings &settings, Incarnation incarnation, EventLoop &loop, FabricIo fabric, SealedTransport peers);

    /**
     * Applies the configuration file and starts the HTTP servers, where these are set. Returns an error if the file is
     * invalid or an address cannot be bound.
     */
    std::optional<Error> start();

    std::string metrics() const;
    web::json::value dump() const;

private:
    std::optional<Error> startControl();
    ControlHooks controlHooks();
    void receivePackets();
    void receiveMessages();
    void handleMessage(const PeerAddress &from, const wire::Envelope &message);
    void applyConfiguration(const Configuration &configuration);
    void publishTarget(TargetId target);
    void publishGoneTargets();
    std::vector<BalancerRevision> balancerRevisions();
    void logDroppedPackets(Timestamp now);
    void tick(Timestamp now);
    void terminate();
    void perform();

    const Settings &settings_;
    EventLoop &loop_;
    FabricIo fabric_;
    SealedTransport peers_;
    BalancerCore core_;
    MembershipCore membership_;
    /** Targets that announce themselves to this balancer and are not GONE. */
    std::set<TargetId> announcedTargets_;
    RateLimitedLog rateLimitedLog_;
    DurationSummary batchDurations_;
    std::optional<Timestamp> exitAt_;
    std::uint64_t loggedNoTarget_ = 0;
    std::uint64_t loggedUnknownService_ = 0;
    // Declared last, so that its threads end before the members that the hooks use are destroyed.
    std::unique_ptr<ControlServer> control_;
};

} // namespace rhubarblane

#endif
