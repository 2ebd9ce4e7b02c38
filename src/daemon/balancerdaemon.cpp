#include "daemon/balancerdaemon.h"

#include "daemon/balancerreport.h"
#include "daemon/configurationfile.h"
#include "daemon/socketreport.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::uint32_t MaxLogLinesPerSecond = 5;

BalancerSettings coreSettings(const Settings &settings, Incarnation incarnation)
{
    BalancerSettings result;
    result.name = settings.name;
    result.incarnation = incarnation;
    result.address = settings.advertised();
    result.flowCacheLimit = static_cast<std::size_t>(settings.flowCacheLimit);
    return result;
}

MembershipSettings membershipSettings(const Settings &settings, Incarnation incarnation)
{
    MembershipSettings result;
    result.name = settings.name;
    result.incarnation = incarnation;
    result.address = settings.advertised();
    result.httpAddress = settings.peerListen.value_or(PeerAddress {});
    result.availabilityZone = settings.availabilityZone;
    result.region = settings.region;
    result.seeds = settings.balancers;
    result.randomSeed = static_cast<std::uint64_t>(settings.seed) ^ balancerIdOf(settings.name).value();
    return result;
}

ControlSettings controlSettings(const Settings &settings)
{
    ControlSettings result;
    result.name = settings.name;
    result.region = settings.region;
    result.listenAddress = formatPeerAddress(*settings.http);
    result.peerListenAddress = settings.peerListen ? formatPeerAddress(*settings.peerListen) : std::string();
    result.storeUrl = settings.store ? "http://" + formatPeerAddress(*settings.store) : std::string();
    result.apiKey = settings.apiKey;
    result.seed = static_cast<std::uint64_t>(settings.seed) ^ balancerIdOf(settings.name).value();
    return result;
}

} // namespace

BalancerDaemon::BalancerDaemon(
    const Settings &settings, Incarnation incarnation, EventLoop &loop, FabricIo fabric, SealedTransport peers)
    : settings_(settings)
    , loop_(loop)
    , fabric_(std::move(fabric))
    , peers_(std::move(peers))
    , core_(coreSettings(settings, incarnation))
    , membership_(membershipSettings(settings, incarnation))
    , rateLimitedLog_(MaxLogLinesPerSecond)
{
    fabric_.onPacket([this](std::string_view packet) { core_.handlePacket(loop_.now(), packet); });
    peers_.onMessage([this](const PeerAddress &from, const wire::Envelope &message) { handleMessage(from, message); });
    loop_.add(fabric_.socket().descriptor(), [this] { receivePackets(); });
    loop_.add(peers_.socket().descriptor(), [this] { receiveMessages(); });
    loop_.onTick([this](Timestamp now) { tick(now); });
    loop_.onTerminate([this] { terminate(); });
}

std::optional<Error> BalancerDaemon::start()
{
    if (!settings_.configuration.empty()) {
        const Outcome<Configuration> configuration = readConfigurationFile(settings_.configuration);
        if (!isOk(configuration)) {
            Error error = errorOf(configuration);
            error.message = "--configuration: " + error.field + ": " + error.message;
            return error;
        }
        core_.applyConfiguration(valueOf(configuration));
    }
    if (settings_.http) {
        if (std::optional<Error> error = startControl()) {
            return error;
        }
    }
    logEvent(LogLevel::Info,
             "started",
             {{"role", "balancer"},
              {"name", settings_.name},
              {"listen", formatPeerAddress(peers_.socket().localAddress())},
              {"fabricListen", formatPeerAddress(fabric_.socket().localAddress())}});
    return std::nullopt;
}

std::optional<Error> BalancerDaemon::startControl()
{
    control_ = std::make_unique<ControlServer>(controlSettings(settings_), controlHooks());
    std::optional<Error> error = control_->start();
    if (error) {
        error->message = "--http or --peer-listen: " + error->field + ": " + error->message;
    }
    return error;
}

ControlHooks BalancerDaemon::controlHooks()
{
    ControlHooks hooks;
    hooks.applyConfiguration = [this](const Configuration &configuration) {
        loop_.post([this, configuration] { applyConfiguration(configuration); });
    };
    hooks.dump = [this] { return loop_.call([this] { return dump().serialize(); }).value_or("{}"); };
    hooks.metrics = [this] { return loop_.call([this] { return metrics(); }).value_or(std::string()); };
    hooks.targets = [this] { return loop_.call([this] { return targetsDump(core_).serialize(); }).value_or("[]"); };
    hooks.liveBalancers = [this] {
        return loop_.call([this] { return balancerRevisions(); }).value_or(std::vector<BalancerRevision>());
    };
    return hooks;
}

std::string BalancerDaemon::metrics() const
{
    MetricsText text;
    addBalancerMetrics(text, core_);
    addSocketMetrics(text, fabric_.socket(), peers_);
    text.gauge("balancers", "Known balancers, this one included.", static_cast<double>(membership_.members().size()));
    text.summary("round_seconds", "Time to handle one batch of packets.", batchDurations_);
    return text.text();
}

web::json::value BalancerDaemon::dump() const
{
    web::json::value json = balancerDump(core_);
    json["name"] = web::json::value(settings_.name);
    json["role"] = web::json::value("balancer");
    json["leaving"] = web::json::value(exitAt_.has_value());
    json["sockets"] = socketDump(fabric_.socket(), peers_);
    return json;
}

void BalancerDaemon::receivePackets()
{
    const auto begin = std::chrono::steady_clock::now();
    fabric_.receiveBatch();
    perform();
    batchDurations_.add(std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count());
}

void BalancerDaemon::receiveMessages()
{
    peers_.receiveBatch();
    perform();
}

void BalancerDaemon::handleMessage(const PeerAddress &from, const wire::Envelope &message)
{
    if (message.has_gossip()) {
        membership_.handleMessage(loop_.now(), from, message.gossip());
        return;
    }
    core_.handleMessage(loop_.now(), from, message);
    if (message.has_announce()) {
        publishTarget(TargetId(message.announce().entry().target()));
    }
}

void BalancerDaemon::applyConfiguration(const Configuration &configuration)
{
    if (!core_.applyConfiguration(configuration)) {
        return;
    }
    membership_.setConfiguration(configuration.revision, configuration.digest);
    logEvent(LogLevel::Info,
             "configurationInForce",
             {{"revision", std::to_string(configuration.revision.value())},
              {"services", std::to_string(configuration.services.size())},
              {"rules", std::to_string(configuration.rules.size())},
              {"drains", std::to_string(configuration.drains.size())}});
}

void BalancerDaemon::publishTarget(TargetId target)
{
    const auto known = core_.targets().all().find(target);
    if (known == core_.targets().all().end() || !known->second.leaseEnd) {
        return;
    }
    announcedTargets_.insert(target);
    membership_.setTarget(known->second.entry);
}

void BalancerDaemon::publishGoneTargets()
{
    for (auto position = announcedTargets_.begin(); position != announcedTargets_.end();) {
        const wire::TargetEntry &entry = core_.targets().all().at(*position).entry;
        if (entry.state() != wire::GONE) {
            ++position;
            continue;
        }
        logEvent(LogLevel::Warn, "targetGone", {{"target", entry.name()}});
        membership_.setTarget(entry);
        position = announcedTargets_.erase(position);
    }
}

std::vector<BalancerRevision> BalancerDaemon::balancerRevisions()
{
    // Other availability zones send their summaries only while there are recent requests for them.
    membership_.watchInForce(loop_.now());
    const std::optional<ConfigurationPeer> newest = membership_.newestConfigurationPeer();
    const Configuration &own = core_.configuration();
    const InForceCount count = membership_.inForceCount(newest ? newest->revision : own.revision);
    return revisionsOf(membership_.members(), newest, count, {settings_.name, own.revision, own.digest, {}});
}

void BalancerDaemon::tick(Timestamp now)
{
    core_.tick(now);
    publishGoneTargets();
    membership_.tick(now);
    perform();
    logDroppedPackets(now);
    if (exitAt_ && now >= *exitAt_) {
        logEvent(LogLevel::Info, "stopped", {{"role", "balancer"}, {"name", settings_.name}});
        loop_.stop();
    }
}

void BalancerDaemon::logDroppedPackets(Timestamp now)
{
    const BalancerCounters &counters = core_.counters();
    if (counters.noTarget != std::exchange(loggedNoTarget_, counters.noTarget)) {
        rateLimitedLog_.log(now, LogLevel::Warn, "noTarget", {{"packets", std::to_string(counters.noTarget)}});
    }
    if (counters.unknownService != std::exchange(loggedUnknownService_, counters.unknownService)) {
        rateLimitedLog_.log(
            now, LogLevel::Warn, "unknownService", {{"packets", std::to_string(counters.unknownService)}});
    }
}

void BalancerDaemon::terminate()
{
    if (exitAt_) {
        return;
    }
    const Milliseconds delay = std::min(settings_.leaveDelay, settings_.shutdownDeadline);
    exitAt_ = loop_.now() + delay;
    membership_.leave(loop_.now());
    perform();
    logEvent(LogLevel::Info, "leaving", {{"role", "balancer"}, {"delayMs", std::to_string(delay.count())}});
}

void BalancerDaemon::perform()
{
    for (const wire::TargetEntry &entry : membership_.takeChangedTargets()) {
        core_.mergeTarget(loop_.now(), entry);
    }
    for (const MembershipSend &action : membership_.takeActions()) {
        peers_.send(action.to, action.message);
    }
    for (const BalancerSend &action : core_.takeActions()) {
        peers_.send(action.to, action.message);
    }
    peers_.flush();
}

} // namespace rhubarblane
