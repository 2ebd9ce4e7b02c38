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

constexpr std::uint32_t LimitedLinesPerSecond = 5;

BalancerSettings coreSettings(const Settings &settings, Incarnation incarnation)
{
    BalancerSettings result;
    result.name = settings.name;
    result.incarnation = incarnation;
    result.address = settings.advertised();
    result.flowCacheLimit = static_cast<std::size_t>(settings.flowCacheLimit);
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
    , limitedLog_(LimitedLinesPerSecond)
{
    fabric_.onPacket([this](std::string_view packet) { core_.handlePacket(loop_.now(), packet); });
    peers_.onMessage([this](const PeerAddress &from, const wire::Envelope &message) {
        core_.handleMessage(loop_.now(), from, message);
    });
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
        StatusHooks hooks;
        hooks.metrics = [this] { return loop_.call([this] { return metrics(); }); };
        hooks.dump = [this] { return loop_.call([this] { return dump(); }); };
        try {
            http_ = std::make_unique<StatusServer>(*settings_.http, std::move(hooks));
        } catch (const std::exception &exception) {
            return Error {ErrorCode::Unavailable, {}, std::string("--http: ") + exception.what()};
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

std::string BalancerDaemon::metrics() const
{
    MetricsText text;
    addBalancerMetrics(text, core_);
    addSocketMetrics(text, fabric_.socket(), peers_);
    text.summary("round_seconds", "Time to handle one batch of packets.", rounds_);
    return text.text();
}

web::json::value BalancerDaemon::dump() const
{
    web::json::value json = balancerDump(core_);
    json["name"] = web::json::value(settings_.name);
    json["role"] = web::json::value("balancer");
    json["leaving"] = web::json::value(leaveAt_.has_value());
    json["sockets"] = socketDump(fabric_.socket(), peers_);
    return json;
}

void BalancerDaemon::receivePackets()
{
    const auto begin = std::chrono::steady_clock::now();
    fabric_.receiveBatch();
    perform();
    rounds_.add(std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count());
}

void BalancerDaemon::receiveMessages()
{
    peers_.receiveBatch();
    perform();
}

void BalancerDaemon::tick(Timestamp now)
{
    core_.tick(now);
    perform();
    const BalancerCounters &counters = core_.counters();
    if (counters.noTarget != std::exchange(loggedNoTarget_, counters.noTarget)) {
        limitedLog_.log(now, LogLevel::Warn, "noTarget", {{"packets", std::to_string(counters.noTarget)}});
    }
    if (counters.unknownService != std::exchange(loggedUnknownService_, counters.unknownService)) {
        limitedLog_.log(now, LogLevel::Warn, "unknownService", {{"packets", std::to_string(counters.unknownService)}});
    }
    if (leaveAt_ && now >= *leaveAt_) {
        logEvent(LogLevel::Info, "stopped", {{"role", "balancer"}, {"name", settings_.name}});
        loop_.stop();
    }
}

void BalancerDaemon::terminate()
{
    if (leaveAt_) {
        return;
    }
    const Milliseconds delay = std::min(settings_.leaveDelay, settings_.shutdownDeadline);
    leaveAt_ = loop_.now() + delay;
    logEvent(LogLevel::Info, "leaving", {{"role", "balancer"}, {"delayMs", std::to_string(delay.count())}});
}

void BalancerDaemon::perform()
{
    for (const BalancerSend &action : core_.takeActions()) {
        peers_.send(action.to, action.message);
    }
    peers_.flush();
}

} // namespace rhubarblane
