#include "node/agentnode.h"

#include "node/nodereport.h"
#include "runtime/logs.h"

#include <utility>

namespace rhubarblane
{

AgentNode::AgentNode(
    const NodeSettings &settings, const Peer &self, EventLoop &loop, const PacketFormat &format, ConfigStore &store)
    : loop_(loop)
    , sockets_(settings, loop)
    , core_({self, settings.group, settings.reportInterval, settings.seeds}, loop.now(), format, sockets_)
    , registration_(
          store,
          self,
          [this](const std::vector<Peer> &peers, LeaseHistory) {
              loop_.post([this, peers] { core_.onStorePeers(loop_.now(), peers); });
          },
          [](const std::string &event, const std::string &detail) {
              logEvent(LogLevel::Info, event, {{"dependency", "store"}, {"detail", detail}});
          })
{
}

std::optional<Error> AgentNode::start()
{
    std::optional<Error> error =
        sockets_.open([this](std::string_view packet) { core_.onTargetPacket(loop_.now(), packet); },
                      [this](const PeerAddress &from, const wire::relay::Message &message) {
                          core_.onPeerMessage(loop_.now(), from, message);
                      });
    if (error) {
        return error;
    }
    loop_.onTick([this](Timestamp now) { tick(now); });
    loop_.onTerminate([this] { core_.beginLeave(loop_.now()); });
    registrationThread_ = std::make_unique<RegistrationThread>(registration_, loop_.clock());
    return std::nullopt;
}

void AgentNode::tick(Timestamp now)
{
    core_.onTick(now);
    if (core_.mayExit(now)) {
        // While the target is alive, the store entry stays until its lease expires, so that balancers wait for the
        // target's next agent instead of treating the target's flows as lost.
        registrationThread_->beginShutdown(core_.isTargetGone(now));
    }
    if (registrationThread_->mayStop()) {
        core_.finishLeave(now);
        loop_.stop();
    }
    sockets_.flush();
}

bool AgentNode::handleTargetReport(const TargetReport &report)
{
    const auto done = loop_.call([this, report] { return core_.onTargetReport(loop_.now(), report); });
    return done.value_or(false);
}

bool AgentNode::handleTargetLeft(const std::string &target)
{
    const auto done = loop_.call([this, target] {
        core_.onTargetLeft(loop_.now(), target);
        return true;
    });
    return done.has_value();
}

void AgentNode::stop()
{
    registrationThread_.reset();
}

std::string AgentNode::metrics()
{
    return loop_.call([this] { return agentMetrics(core_, sockets_, loop_.now()); }).value_or(std::string());
}

std::string AgentNode::dump()
{
    return loop_.call([this] { return agentDump(core_, loop_.now()); }).value_or("{}");
}

} // namespace rhubarblane
