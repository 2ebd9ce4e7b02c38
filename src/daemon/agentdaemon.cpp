#include "daemon/agentdaemon.h"

#include "daemon/agentreport.h"
#include "daemon/socketreport.h"

#include <chrono>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::uint32_t MaxLogLinesPerSecond = 5;
// Leaves time to resend the final announcement once if its first datagram is lost.
constexpr Milliseconds FinalAnnouncementTime(1500);

AgentSettings coreSettings(const Settings &settings, Incarnation incarnation)
{
    AgentSettings result;
    result.name = settings.name;
    result.incarnation = incarnation;
    result.address = settings.advertised();
    result.balancers = settings.balancers;
    result.client = settings.client;
    result.availabilityZone = settings.availabilityZone;
    result.labels = settings.labels;
    result.slots = static_cast<std::uint32_t>(settings.slots);
    result.capacityMilli = static_cast<std::uint32_t>(settings.capacityMilli);
    result.queueLimit = static_cast<std::uint32_t>(settings.queueLimit);
    result.flowLimit = static_cast<std::uint32_t>(settings.flowLimit);
    result.seed = static_cast<std::uint64_t>(settings.seed);
    return result;
}

} // namespace

AgentDaemon::AgentDaemon(
    const Settings &settings, Incarnation incarnation, EventLoop &loop, FabricIo fabric, SealedTransport peers)
    : settings_(settings)
    , loop_(loop)
    , fabric_(std::move(fabric))
    , peers_(std::move(peers))
    , target_(loop, *settings.target)
    , core_(coreSettings(settings, incarnation))
    , rateLimitedLog_(MaxLogLinesPerSecond)
{
    // The agent only sends to the fabric; packets of callers arrive through the balancers.
    fabric_.onPacket([](std::string_view) {});
    peers_.onMessage([this](const PeerAddress &from, const wire::Envelope &message) {
        core_.handleMessage(loop_.now(), from, message);
    });
    target_.setHandlers(
        [this](const FlowTuple &flow, FlowNumber number, std::string packet) {
            core_.handleFromTarget(loop_.now(), flow, number, std::move(packet));
            perform();
        },
        [this](const FlowTuple &flow, FlowNumber number) {
            rateLimitedLog_.log(loop_.now(), LogLevel::Warn, "targetRefused", {{"flow", formatFlowTuple(flow)}});
            core_.handleTargetClosed(loop_.now(), flow, number);
            perform();
        });
    loop_.add(fabric_.socket().descriptor(), [this] { fabric_.receiveBatch(); });
    loop_.add(peers_.socket().descriptor(), [this] { receiveMessages(); });
    loop_.onTick([this](Timestamp now) { tick(now); });
    loop_.onTerminate([this] { terminate(); });
}

std::optional<Error> AgentDaemon::start()
{
    if (settings_.http) {
        StatusHooks hooks;
        hooks.metrics = [this] { return loop_.call([this] { return metrics(); }).value_or(std::string()); };
        hooks.dump = [this] { return loop_.call([this] { return dump().serialize(); }).value_or(std::string()); };
        http_ = std::make_unique<StatusServer>(std::move(hooks));
        if (std::optional<Error> error = http_->start(*settings_.http)) {
            error->message.insert(0, "--http: ");
            return error;
        }
    }
    logEvent(LogLevel::Info,
             "started",
             {{"role", "agent"},
              {"name", settings_.name},
              {"listen", formatPeerAddress(peers_.socket().localAddress())},
              {"target", formatPeerAddress(*settings_.target)}});
    return std::nullopt;
}

std::string AgentDaemon::metrics() const
{
    MetricsText text;
    addAgentMetrics(text, core_, target_);
    addSocketMetrics(text, fabric_.socket(), peers_);
    text.summary("round_seconds", "Time to handle one batch of messages.", batchDurations_);
    return text.text();
}

web::json::value AgentDaemon::dump() const
{
    web::json::value json = agentDump(core_, target_);
    json["name"] = web::json::value(settings_.name);
    json["role"] = web::json::value("agent");
    json["sockets"] = socketDump(fabric_.socket(), peers_);
    return json;
}

void AgentDaemon::receiveMessages()
{
    const auto begin = std::chrono::steady_clock::now();
    peers_.receiveBatch();
    perform();
    batchDurations_.add(std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count());
}

void AgentDaemon::tick(Timestamp now)
{
    core_.tick(now);
    perform();
    const AgentCounters &counters = core_.counters();
    if (counters.wrongService != std::exchange(loggedWrongService_, counters.wrongService)) {
        rateLimitedLog_.log(now, LogLevel::Warn, "wrongService", {{"packets", std::to_string(counters.wrongService)}});
    }
    // A target that no rule has bound has nothing to drain. The deadline applies in every state.
    const bool unused = !core_.service() && core_.flows().size() == 0;
    if (!drainDeadline_ || !(unused || core_.isDrained(now) || now >= *drainDeadline_)) {
        return;
    }
    if (!drainedAt_) {
        drainedAt_ = now;
        logEvent(LogLevel::Info, "drained", {{"openFlows", std::to_string(core_.flows().size())}});
    }
    if (now >= *drainedAt_ + FinalAnnouncementTime) {
        logEvent(LogLevel::Info, "stopped", {{"role", "agent"}, {"name", settings_.name}});
        loop_.stop();
    }
}

void AgentDaemon::terminate()
{
    if (drainDeadline_) {
        return;
    }
    const Timestamp now = loop_.now();
    drainDeadline_ = now + settings_.shutdownDeadline;
    core_.beginDrain(now, *drainDeadline_);
    logEvent(LogLevel::Info,
             "draining",
             {{"openFlows", std::to_string(core_.flows().size())},
              {"deadlineMs", std::to_string(settings_.shutdownDeadline.count())}});
    perform();
}

void AgentDaemon::perform()
{
    // A delivery can fail synchronously and queue further actions, so the loop runs until none are left.
    if (std::exchange(performing_, true)) {
        return;
    }
    for (auto actions = core_.takeActions(); !actions.empty(); actions = core_.takeActions()) {
        for (const AgentAction &action : actions) {
            std::visit([this](const auto &typed) { perform(typed); }, action);
        }
    }
    performing_ = false;
    peers_.flush();
    fabric_.flush();
}

void AgentDaemon::perform(const SendMessage &action)
{
    peers_.send(action.to, action.message);
}

void AgentDaemon::perform(const DeliverPacket &action)
{
    target_.deliver(action);
}

void AgentDaemon::perform(const SendToCaller &action)
{
    fabric_.sendPacket(action.packet);
}

void AgentDaemon::perform(const CloseFlow &action)
{
    target_.close(action);
}

} // namespace rhubarblane
