#ifndef RHUBARBLANE_TESTS_PATHFIXTURE_H
#define RHUBARBLANE_TESTS_PATHFIXTURE_H

#include "agent/agentcore.h"
#include "balancer/balancercore.h"
#include "daemon/packetio.h"
#include "daemon/peertransport.h"
#include "daemon/targetlink.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <deque>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>

namespace rhubarblane
{

inline PeerAddress addressOf(std::uint16_t port)
{
    return PeerAddress {0x7f000001, port};
}

inline std::string payloadOf(const std::string &packet)
{
    const auto parsed = parsePacket(packet);
    const PacketInfo *info = std::get_if<PacketInfo>(&parsed);
    return info == nullptr ? "icmp" : packet.substr(info->payloadOffset, info->payloadSize);
}

/**
 * Connects balancers, agents and echo targets by a simulated network that delivers datagrams immediately and in order.
 * The transcript records only what callers and targets observe, so it does not depend on the messages between the
 * processes.
 */
struct PathFixture {
    struct Datagram {
        PeerAddress from;
        PeerAddress to;
        wire::Envelope message;
    };
    struct Agent {
        explicit Agent(const AgentSettings &settings)
            : name(settings.name)
            , core(settings)
        {
        }

        std::string name;
        AgentCore core;
        std::string lastState;
    };

    Timestamp now {1000};
    std::map<PeerAddress, std::unique_ptr<BalancerCore>> balancers;
    std::map<PeerAddress, std::unique_ptr<Agent>> agents;
    std::deque<Datagram> network;
    std::ostringstream transcript;
    std::size_t sprayed = 0;

    PathFixture()
    {
        for (std::uint16_t i = 0; i < 3; ++i) {
            BalancerSettings settings;
            settings.name = "balancer-" + std::to_string(i);
            settings.incarnation = Incarnation(1);
            settings.address = addressOf(static_cast<std::uint16_t>(100 + i));
            balancers[settings.address] = std::make_unique<BalancerCore>(settings);
            balancers[settings.address]->applyConfiguration(configuration());
        }
        for (std::uint16_t i = 0; i < 3; ++i) {
            AgentSettings settings;
            settings.name = "readings-" + std::to_string(i);
            settings.incarnation = Incarnation(1);
            settings.address = addressOf(static_cast<std::uint16_t>(200 + i));
            settings.balancers = {addressOf(100), addressOf(101), addressOf(102)};
            settings.labels = {{"app", "readings"}};
            settings.slots = 8;
            agents[settings.address] = std::make_unique<Agent>(settings);
        }
    }

    static Configuration configuration()
    {
        Configuration result;
        result.revision = Revision(1);
        ServiceSpec service;
        service.name = "readings";
        service.address = 0x0a640001;
        service.port = 5000;
        service.kind = FlowKind::Stream;
        service.idleTimeout = Milliseconds(5000);
        result.services["readings"] = service;
        result.rules["readings"] = RuleSpec {"readings", "readings", {{"app", "readings"}}, {}, {}};
        return result;
    }

    static FlowTuple flow(std::uint16_t callerPort)
    {
        return FlowTuple {0x0ac80001, 0x0a640001, callerPort, 5000, Protocol::Udp};
    }

    std::ostream &line()
    {
        return transcript << now.milliseconds() << " ";
    }

    /** Sends a packet as the fabric does, distributing packets over the balancers in turn. */
    void send(std::uint16_t callerPort, const std::string &payload)
    {
        auto position = balancers.begin();
        std::advance(position, static_cast<std::ptrdiff_t>(sprayed++ % balancers.size()));
        position->second->handlePacket(now, buildUdpRequest(flow(callerPort), payload));
        settle();
    }

    void run(std::int64_t milliseconds)
    {
        const Timestamp end = now + Milliseconds(milliseconds);
        for (; now < end; now = now + Milliseconds(100)) {
            for (const auto &[address, balancer] : balancers) {
                balancer->tick(now);
            }
            for (const auto &[address, agent] : agents) {
                agent->core.tick(now);
            }
            settle();
        }
    }

    void settle()
    {
        while (true) {
            for (const auto &[address, balancer] : balancers) {
                for (BalancerSend &action : balancer->takeActions()) {
                    network.push_back({address, action.to, std::move(action.message)});
                }
            }
            for (const auto &[address, agent] : agents) {
                takeActions(address, *agent);
            }
            if (network.empty()) {
                return;
            }
            const Datagram datagram = std::move(network.front());
            network.pop_front();
            deliver(datagram);
        }
    }

    void deliver(const Datagram &datagram)
    {
        if (const auto balancer = balancers.find(datagram.to); balancer != balancers.end()) {
            balancer->second->handleMessage(now, datagram.from, datagram.message);
        } else if (const auto agent = agents.find(datagram.to); agent != agents.end()) {
            agent->second->core.handleMessage(now, datagram.from, datagram.message);
        }
    }

    void takeActions(const PeerAddress &address, Agent &agent)
    {
        for (auto actions = agent.core.takeActions(); !actions.empty(); actions = agent.core.takeActions()) {
            for (AgentAction &action : actions) {
                if (auto *send = std::get_if<SendMessage>(&action)) {
                    network.push_back({address, send->to, std::move(send->message)});
                } else if (const auto *delivery = std::get_if<DeliverPacket>(&action)) {
                    const std::string payload = payloadOf(delivery->packet);
                    line() << agent.name << " gets " << payload << " of port " << delivery->flow.callerPort << "\n";
                    agent.core.handleFromTarget(
                        now, delivery->flow, delivery->number, buildUdpReply(delivery->flow, "echo " + payload));
                } else if (const auto *answer = std::get_if<SendToCaller>(&action)) {
                    line() << "caller gets " << payloadOf(answer->packet) << "\n";
                } else if (const auto *close = std::get_if<CloseFlow>(&action)) {
                    line() << agent.name << " closes port " << close->flow.callerPort << "\n";
                }
            }
        }
        const std::string state = wire::MemberState_Name(agent.core.self().state());
        if (state != agent.lastState) {
            agent.lastState = state;
            line() << agent.name << " is " << state << "\n";
        }
    }

    Agent &ownerOf(std::uint16_t callerPort)
    {
        for (const auto &[address, agent] : agents) {
            bool owns = false;
            agent->core.flows().forEach(
                [&](const FlowRecord &record) { owns = owns || record.flow.callerPort == callerPort; });
            if (owns) {
                return *agent;
            }
        }
        BOOST_FAIL("no agent owns the flow");
        std::abort();
    }

    void check(const std::string &name) const
    {
        const std::string path = std::string(RHUBARBLANE_GOLDEN_DIR) + "/" + name;
        if (std::getenv("RHUBARBLANE_UPDATE_GOLDEN") != nullptr) {
            std::ofstream(path) << transcript.str();
        }
        std::ifstream file(path);
        BOOST_TEST(transcript.str() == std::string(std::istreambuf_iterator<char>(file), {}));
    }
};

} // namespace rhubarblane

#endif
