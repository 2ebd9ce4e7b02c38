#ifndef RHUBARBLANE_STANDINS_FABRICSTANDIN_H
#define RHUBARBLANE_STANDINS_FABRICSTANDIN_H

#include "standins/datagramport.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** Addresses and faults of the fabric stand-in. */
struct FabricStandinSettings {
    /** Listen address for packets from callers. */
    PeerAddress callers;
    /** Listen address for packets from agents to callers. */
    PeerAddress answers;
    /** Listen address for control commands. */
    PeerAddress control;
    /** Balancers at start. */
    std::vector<PeerAddress> balancers;
    std::uint64_t seed = 1;
    /** Share of the callers' packets that are duplicated. The copy is delayed by `lateCopyMs`. */
    double lateCopyShare = 0;
    std::int64_t lateCopyMs = 500;
};

/**
 * Simulates the network fabric: sends each packet of a caller to a random balancer, and each answer to the process that
 * last sent a packet from the answer's destination address.
 */
class FabricStandin
{
public:
    FabricStandin(boost::asio::io_context &context, const FabricStandinSettings &settings);

    /** Runs the command "add ADDRESS:PORT", "remove ADDRESS:PORT" or "list" and returns the reply. */
    std::string control(std::string_view command);

    PeerAddress callersAddress() const
    {
        return callers_.localAddress();
    }
    PeerAddress answersAddress() const
    {
        return answers_.localAddress();
    }

private:
    void fromCaller(const PeerAddress &from, std::string_view packet);
    void fromAgent(std::string_view packet);
    void sendToRandomBalancer(std::string_view packet);
    void sendCopyLater(std::string packet);

    FabricStandinSettings settings_;
    boost::asio::io_context &context_;
    std::mt19937_64 random_;
    std::vector<PeerAddress> balancers_;
    std::unordered_map<std::uint32_t, PeerAddress> callerRoutes_;
    DatagramPort callers_;
    DatagramPort answers_;
    DatagramPort control_;
};

/** Runs `rhubarblane_standin fabric` and returns its exit code. */
int runFabricStandin(const std::vector<std::string> &arguments);

} // namespace rhubarblane

#endif
