#include "node/balancernode.h"

#include "node/nodereport.h"
#include "runtime/logs.h"

#include <utility>

namespace rhubarblane
{

namespace
{

// The fabric polls readiness twice a second and removes a balancer after two failed polls; the remaining time covers
// packets in flight.
constexpr Milliseconds ShutdownDelay(1600);
// Step interval of a thread that has no work left.
constexpr Milliseconds IdleInterval(1000);
// Wait of a thread that works on request only.
constexpr Milliseconds UntilWoken(3600000);

void logStoreEvent(const std::string &event, const std::string &detail)
{
    logEvent(LogLevel::Info, event, {{"dependency", "store"}, {"detail", detail}});
}

RelayBalancerSettings coreSettings(const NodeSettings &settings, const Peer &self)
{
    RelayBalancerSettings result;
    result.self = self;
    result.seeds = settings.seeds;
    result.coldRateBounds = settings.coldRateBounds;
    result.randomSeed = self.id().value() ^ self.incarnation;
    result.evacuations = settings.evacuations;
    return result;
}

} // namespace

BalancerNode::BalancerNode(const NodeSettings &settings,
                           const Peer &self,
                           EventLoop &loop,
                           const PacketFormat &format,
                           ConfigStore &store,
                           std::string tableKey,
                           TableWatcher::Decoder decode,
                           EvacuationKeys evacuationKeys)
    : loop_(loop)
    , store_(store)
    , sockets_(settings, loop)
    , core_(coreSettings(settings, self), loop.now(), format, sockets_)
    , registration_(
          store,
          self,
          [this](const std::vector<Peer> &peers, LeaseHistory leases) {
              loop_.post([this, peers, leases] { core_.onStorePeers(loop_.now(), peers, leases); });
          },
          logStoreEvent)
    , watcher_(
          store,
          std::move(tableKey),
          std::move(decode),
          [this](ServiceTable table) {
              loop_.post([this, table = std::move(table)] {
                  core_.onTable(loop_.now(), table, "store");
                  ready_ = core_.isReady();
              });
          },
          logStoreEvent,
          settings.evacuations ? std::move(evacuationKeys) : EvacuationKeys(),
          [this](const EvacuatedZones &state) {
              loop_.post([this, state] {
                  core_.onEvacuations(loop_.now(), state, "store");
                  ready_ = core_.isReady();
              });
          })
{
}

std::optional<Error> BalancerNode::start()
{
    std::optional<Error> error =
        sockets_.open([this](std::string_view packet) { core_.onCallerPacket(loop_.now(), packet); },
                      [this](const PeerAddress &from, const wire::relay::Message &message) {
                          core_.onPeerMessage(loop_.now(), from, message);
                      });
    if (error) {
        return error;
    }
    loop_.onTick([this](Timestamp now) { tick(now); });
    loop_.onTerminate([this] { terminate(); });
    watcherThread_ = std::make_unique<WorkerThread>([this] { return shuttingDown_ ? IdleInterval : watcher_.step(); });
    checkThread_ = std::make_unique<WorkerThread>([this] { return checkTable(); });
    registrationThread_ = std::make_unique<RegistrationThread>(registration_, loop_.clock());
    return std::nullopt;
}

void BalancerNode::tick(Timestamp now)
{
    sockets_.receiveMessages();
    core_.onTick(now, sockets_.messagesReadUntil());
    ready_ = core_.isReady();
    if (core_.takeTableCheck(now)) {
        checkRequested_ = true;
        checkThread_->wake();
    }
    // The fabric falls back to all balancers of a zone when too few are ready, so packets may still arrive here.
    // Nothing but the shutdown delay and the registration may therefore delay the exit.
    if (exitAt_ && now >= *exitAt_ && registrationThread_->mayStop()) {
        core_.finishLeave(now);
        loop_.stop();
    }
    sockets_.flush();
}

Milliseconds BalancerNode::checkTable()
{
    if (checkRequested_.exchange(false) && !shuttingDown_) {
        const Timestamp begun = loop_.clock().now();
        const bool succeeded = watcher_.check();
        loop_.post([this, begun, succeeded] { core_.onTableCheck(loop_.now(), begun, succeeded); });
    }
    return UntilWoken;
}

void BalancerNode::terminate()
{
    if (!exitAt_) {
        core_.beginLeave();
        ready_ = false;
        shuttingDown_ = true;
        exitAt_ = loop_.now() + ShutdownDelay;
        watcher_.stop();
        store_.cancelWatches();
        registrationThread_->beginShutdown(true);
    }
}

void BalancerNode::stop()
{
    watcherThread_.reset();
    checkThread_.reset();
    registrationThread_.reset();
}

std::string BalancerNode::metrics()
{
    return loop_.call([this] { return balancerMetrics(core_, sockets_, loop_.now()); }).value_or(std::string());
}

std::string BalancerNode::dump()
{
    return loop_.call([this] { return balancerDump(core_, loop_.now()); }).value_or("{}");
}

} // namespace rhubarblane
