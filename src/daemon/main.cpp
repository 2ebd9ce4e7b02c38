#include "daemon/agentdaemon.h"
#include "daemon/balancerdaemon.h"
#include "daemon/settings.h"

#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace rhubarblane
{

namespace
{

constexpr int ExitCannotStart = 1;
constexpr Milliseconds TickInterval(20);

// Wall-clock microseconds increase from one start of a process to the next without stored state.
Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    return Incarnation(static_cast<std::uint64_t>(microseconds));
}

// An agent holds one open socket per flow.
void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

void blockTerminationSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    // Must run before any thread starts, so that all threads inherit the mask and only the event loop receives the
    // signals.
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int fail(const std::string &message)
{
    logEvent(LogLevel::Error, "cannotStart", {{"reason", message}});
    return ExitCannotStart;
}

template<typename Daemon>
int runDaemon(const Settings &settings, UdpSocket fabric, std::optional<PeerAddress> fabricAddress)
{
    Outcome<UdpSocket> peers = UdpSocket::bound(settings.listen);
    if (!isOk(peers)) {
        return fail("--listen: " + errorOf(peers).message);
    }
    const Incarnation incarnation = newIncarnation();
    const std::uint64_t sender =
        settings.role == Role::Agent ? targetIdOf(settings.name).value() : balancerIdOf(settings.name).value();
    const SystemClock clock;
    EventLoop loop(clock, TickInterval);
    Daemon daemon(settings,
                  incarnation,
                  loop,
                  FabricIo(std::move(fabric), fabricAddress),
                  SealedTransport(takeValue(std::move(peers)), DatagramSeal(settings.key, sender, incarnation)));
    if (const std::optional<Error> error = daemon.start()) {
        return fail(error->message);
    }
    loop.run();
    return EXIT_SUCCESS;
}

int runRole(const Settings &settings)
{
    const bool agent = settings.role == Role::Agent;
    Outcome<UdpSocket> fabric = UdpSocket::bound(agent ? PeerAddress {} : *settings.fabricListen);
    if (!isOk(fabric)) {
        return fail("--fabric-listen: " + errorOf(fabric).message);
    }
    if (agent) {
        return runDaemon<AgentDaemon>(settings, takeValue(std::move(fabric)), settings.fabric);
    }
    return runDaemon<BalancerDaemon>(settings, takeValue(std::move(fabric)), std::nullopt);
}

} // namespace

} // namespace rhubarblane

int main(int argc, char **argv)
{
    using namespace rhubarblane;
    const std::variant<Settings, SettingsMessage> settings =
        readSettings({argv + 1, argv + argc}, [](const std::string &name) { return std::getenv(name.c_str()); });
    if (const SettingsMessage *message = std::get_if<SettingsMessage>(&settings)) {
        (message->exitCode == 0 ? std::cout : std::cerr) << message->text;
        return message->exitCode;
    }
    blockTerminationSignals();
    raiseDescriptorLimit();
    startLogging(std::get<Settings>(settings).logLevel);
    return runRole(std::get<Settings>(settings));
}
