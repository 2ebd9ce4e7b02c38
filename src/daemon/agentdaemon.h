#ifndef RHUBARBLANE_DAEMON_AGENTDAEMON_H
#define RHUBARBLANE_DAEMON_AGENTDAEMON_H

#include "agent/agentcore.h"
#include "daemon/fabricio.h"
#include "daemon/sealedtransport.h"
#include "daemon/settings.h"
#include "daemon/statusserver.h"
#include "daemon/targetlink.h"
#include "runtime/durationsummary.h"
#include "runtime/eventloop.h"
#include "runtime/logs.h"

#include <cpprest/json.h>

#include <memory>
#include <optional>
#include <string>

namespace rhubarblane
{

/** The process of the role `agent`. */
class AgentDaemon
{
public:
    /** `settings` and `loop` must outlive the daemon. */
    AgentDaemon(
        const Settings &settings, Incarnation incarnation, EventLoop &loop, FabricIo fabric, SealedTransport peers);

    /** Starts the HTTP server if one is configured. Returns an error if its address cannot be bound. */
    std::optional<Error> start();

    std::string metrics() const;
    web::json::value dump() const;

private:
    void receiveMessages();
    void tick(Timestamp now);
    void terminate();
    void perform();
    void perform(const SendMessage &action);
    void perform(const DeliverPacket &action);
    void perform(const SendToCaller &action);
    void perform(const CloseFlow &action);

    const Settings &settings_;
    EventLoop &loop_;
    FabricIo fabric_;
    SealedTransport peers_;
    TargetLink target_;
    AgentCore core_;
    RateLimitedLog rateLimitedLog_;
    DurationSummary batchDurations_;
    /** Deadline of the graceful stop; empty before SIGTERM. */
    std::optional<Timestamp> drainDeadline_;
    bool performing_ = false;
    std::optional<Timestamp> drainedAt_;
    std::unique_ptr<StatusServer> http_;
    std::uint64_t loggedWrongService_ = 0;
};

} // namespace rhubarblane

#endif
