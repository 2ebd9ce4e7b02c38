#include "standins/fabricstandin.h"

#include "standins/options.h"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <sstream>

namespace rhubarblane
{

namespace
{

constexpr std::size_t Ipv4HeaderBytes = 20;
constexpr std::size_t SourceOffset = 12;
constexpr std::size_t DestinationOffset = 16;

std::uint32_t addressAt(std::string_view packet, std::size_t offset)
{
    std::uint32_t address = 0;
    for (std::size_t i = 0; i < sizeof(address); ++i) {
        address = (address << 8) | static_cast<unsigned char>(packet[offset + i]);
    }
    return address;
}

} // namespace

FabricStandin::FabricStandin(boost::asio::io_context &context, const FabricStandinSettings &settings)
    : settings_(settings)
    , context_(context)
    , random_(settings.seed)
    , balancers_(settings.balancers)
    , callers_(context,
               settings.callers,
               [this](const PeerAddress &from, std::string_view packet) { fromCaller(from, packet); })
    , answers_(context, settings.answers, [this](const PeerAddress &, std::string_view packet) { fromAgent(packet); })
    , control_(context, settings.control, [this](const PeerAddress &from, std::string_view command) {
        control_.send(from, control(command));
    })
{
}

std::string FabricStandin::control(std::string_view command)
{
    std::istringstream text {std::string(command)};
    std::string verb;
    std::string where;
    text >> verb >> where;
    if (verb == "list") {
        std::string list;
        for (const PeerAddress &balancer : balancers_) {
            list += formatPeerAddress(balancer) + "\n";
        }
        return list;
    }
    const Outcome<PeerAddress> address = parsePeerAddress(where);
    if ((verb != "add" && verb != "remove") || !isOk(address)) {
        return "error: allowed: list, add ADDRESS:PORT, remove ADDRESS:PORT\n";
    }
    balancers_.erase(std::remove(balancers_.begin(), balancers_.end(), valueOf(address)), balancers_.end());
    if (verb == "add") {
        balancers_.push_back(valueOf(address));
    }
    return "ok\n";
}

void FabricStandin::fromCaller(const PeerAddress &from, std::string_view packet)
{
    if (packet.size() < Ipv4HeaderBytes) {
        return;
    }
    callerRoutes_[addressAt(packet, SourceOffset)] = from;
    sendToRandomBalancer(packet);
    if (settings_.lateCopyShare > 0 && std::uniform_real_distribution<>(0, 1)(random_) < settings_.lateCopyShare) {
        sendCopyLater(std::string(packet));
    }
}

void FabricStandin::fromAgent(std::string_view packet)
{
    if (packet.size() < Ipv4HeaderBytes) {
        return;
    }
    const auto route = callerRoutes_.find(addressAt(packet, DestinationOffset));
    if (route != callerRoutes_.end()) {
        callers_.send(route->second, packet);
    }
}

void FabricStandin::sendToRandomBalancer(std::string_view packet)
{
    if (!balancers_.empty()) {
        callers_.send(balancers_[random_() % balancers_.size()], packet);
    }
}

void FabricStandin::sendCopyLater(std::string packet)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, std::chrono::milliseconds(settings_.lateCopyMs));
    timer->async_wait([this, timer, copy = std::move(packet)](const boost::system::error_code &error) {
        if (!error) {
            sendToRandomBalancer(copy);
        }
    });
}

int runFabricStandin(const std::vector<std::string> &arguments)
{
    const Options options("fabric",
                          arguments,
                          {{"callers-listen", "127.0.0.1:6000", "UDP address for packets from callers"},
                           {"answers-listen", "127.0.0.1:6001", "UDP address for packets from agents to callers"},
                           {"control-listen", "127.0.0.1:6002", "UDP address for the commands list, add and remove"},
                           {"balancers", "", "comma-separated addresses of the balancers at start"},
                           {"seed", "1", "seed of the random generator"},
                           {"late-copy-share", "0", "share of the callers' packets that arrive twice"},
                           {"late-copy-ms", "500", "delay of the second copy in ms"}});
    FabricStandinSettings settings;
    settings.callers = options.address("callers-listen");
    settings.answers = options.address("answers-listen");
    settings.control = options.address("control-listen");
    settings.balancers = options.addresses("balancers");
    settings.seed = static_cast<std::uint64_t>(options.integer("seed"));
    settings.lateCopyShare = options.number("late-copy-share");
    settings.lateCopyMs = options.integer("late-copy-ms");
    boost::asio::io_context context;
    const FabricStandin fabric(context, settings);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    std::cout << "ready" << std::endl;
    context.run();
    return 0;
}

} // namespace rhubarblane
