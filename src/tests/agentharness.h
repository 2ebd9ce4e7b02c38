#ifndef RHUBARBLANE_TESTS_AGENTHARNESS_H
#define RHUBARBLANE_TESTS_AGENTHARNESS_H

#include "agent/agentcore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

constexpr std::uint64_t TestService = 7;

enum TcpFlag : std::uint8_t {
    Fin = 0x01,
    Syn = 0x02,
    Rst = 0x04,
    Ack = 0x10,
};

/** Builds a TCP segment from the caller of a flow, or towards the caller if `toCaller`. Checksums are left zero. */
inline std::string tcpPacket(const FlowTuple &flow,
                             std::uint8_t flags,
                             std::uint32_t sequence,
                             const std::string &payload = "",
                             bool toCaller = false)
{
    std::string packet(40, '\0');
    const auto put = [&](std::size_t offset, std::uint32_t value, std::size_t bytes) {
        for (std::size_t i = 0; i < bytes; ++i) {
            packet[offset + i] = static_cast<char>(value >> (8 * (bytes - 1 - i)) & 0xff);
        }
    };
    put(0, 0x45, 1);
    put(2, static_cast<std::uint32_t>(40 + payload.size()), 2);
    put(8, 64, 1);
    put(9, 6, 1);
    put(12, toCaller ? flow.serviceAddress : flow.callerAddress, 4);
    put(16, toCaller ? flow.callerAddress : flow.serviceAddress, 4);
    put(20, toCaller ? flow.servicePort : flow.callerPort, 2);
    put(22, toCaller ? flow.callerPort : flow.servicePort, 2);
    put(24, sequence, 4);
    put(32, 0x50, 1);
    put(33, flags, 1);
    return packet + payload;
}

/** Agents of one service on a simulated network, with a balancer that knows all agents. */
class AgentHarness
{
public:
    struct Delivery {
        std::size_t agent = 0;
        FlowTuple flow;
        FlowNumber number;
        std::string packet;
    };
    struct Datagram {
        std::int64_t due = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        wire::Envelope message;
    };

    std::int64_t now = 1000;
    wire::ServiceSettings service;
    std::vector<std::unique_ptr<AgentCore>> agents;
    std::vector<bool> dead;
    std::vector<Delivery> deliveries;
    std::vector<std::string> toCallers;
    std::vector<FlowTuple> closed;
    std::multimap<std::int64_t, Datagram> network;
    /** Returns true for a datagram that is to be lost. */
    std::function<bool(const Datagram &)> isLost;
    /** Returns the delay of a datagram in ms. */
    std::function<std::int64_t(const Datagram &)> delayOf;
    std::vector<std::uint64_t> removed;

    AgentHarness()
    {
        service.set_service(TestService);
        service.set_at_most_once(true);
        service.set_request_kind(true);
        service.set_idle_timeout_ms(3600000);
        service.set_priority(9);
    }

    static PeerAddress addressOf(std::size_t index)
    {
        return PeerAddress {static_cast<std::uint32_t>(index + 1), 7000};
    }

    static PeerAddress balancerAddress()
    {
        return PeerAddress {0x0a000001, 7000};
    }

    static FlowTuple flow(std::uint16_t port, Protocol protocol = Protocol::Udp)
    {
        return FlowTuple {0xc0000201, 0xc6336401, port, 80, protocol};
    }

    virtual ~AgentHarness() = default;

    AgentSettings settingsFor(const std::string &name, std::uint64_t incarnation) const
    {
        AgentSettings settings;
        settings.name = name;
        settings.incarnation = Incarnation(incarnation);
        settings.address = addressOf(agents.size());
        settings.balancers = {balancerAddress()};
        settings.slots = 2;
        settings.queueLimit = 2;
        settings.seed = agents.size() + 1;
        return settings;
    }

    std::size_t add(const std::string &name, std::uint64_t incarnation = 1)
    {
        return add(settingsFor(name, incarnation));
    }

    std::size_t add(const AgentSettings &settings)
    {
        agents.push_back(std::make_unique<AgentCore>(settings));
        dead.push_back(false);
        return agents.size() - 1;
    }

    void startGroup(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            add("target-" + std::to_string(i));
        }
        run(2000);
    }

    /**
     * Starts a group whose agent 0 has little capacity, so that it places most flows that it coordinates at other
     * members.
     */
    void startUnequalGroup(std::size_t size)
    {
        AgentSettings weak = settingsFor("target-0", 1);
        weak.capacityMilli = 20;
        add(weak);
        for (std::size_t i = 1; i < size; ++i) {
            add("target-" + std::to_string(i));
        }
        run(2000);
    }

    static std::vector<TargetId> candidatesFor(const FlowTuple &tuple, const GroupRoster &roster)
    {
        return Placement(AgentSettings()).candidatesFor(flowHashOf(tuple), roster);
    }

    AgentCore &agent(std::size_t index)
    {
        return *agents[index];
    }

    std::size_t indexOf(TargetId target) const
    {
        for (std::size_t i = 0; i < agents.size(); ++i) {
            if (agents[i]->self().target() == target.value() && !dead[i]) {
                return i;
            }
        }
        return agents.size();
    }

    std::size_t homeOf(const FlowTuple &tuple, std::size_t observer = 0) const
    {
        return indexOf(agents[observer]->roster().homeOf(flowHashOf(tuple)).value_or(TargetId()));
    }

    /** Returns a flow whose home is the given agent according to the observer's roster. */
    FlowTuple flowWithHome(std::size_t home, std::size_t observer = 0, Protocol protocol = Protocol::Udp) const
    {
        std::uint16_t port = 1024;
        while (homeOf(flow(port, protocol), observer) != home) {
            ++port;
        }
        return flow(port, protocol);
    }

    /** Sends a packet in a Forward message, as a balancer with any view of the group would. */
    void sendTo(std::size_t index, const FlowTuple &tuple, const std::string &packet)
    {
        wire::Envelope envelope;
        wire::Forward *message = envelope.mutable_forward();
        message->set_service(TestService);
        *message->mutable_flow() = toWire(tuple);
        message->set_packet(packet);
        const auto parsed = parsePacket(packet);
        message->set_opening(std::get<PacketInfo>(parsed).canOpenFlow());
        *message->mutable_balancer() = toWire(balancerAddress());
        post(agents.size(), index, std::move(envelope));
    }

    void post(std::size_t from, std::size_t to, wire::Envelope &&message)
    {
        Datagram datagram {now, from, to, std::move(message)};
        if (isLost && isLost(datagram)) {
            return;
        }
        datagram.due = now + (delayOf ? delayOf(datagram) : 1);
        network.emplace(datagram.due, std::move(datagram));
    }

    /** Returns the agents that delivered packets of a flow to their targets, with the number of packets. */
    std::map<std::size_t, std::size_t> ownersOf(const FlowTuple &tuple) const
    {
        std::map<std::size_t, std::size_t> result;
        for (const Delivery &delivery : deliveries) {
            if (delivery.flow == tuple) {
                ++result[delivery.agent];
            }
        }
        return result;
    }

    std::optional<std::size_t> ownerOf(const FlowTuple &tuple)
    {
        for (std::size_t i = 0; i < agents.size(); ++i) {
            bool isOwner = false;
            agents[i]->flows().forEach([&](const FlowRecord &record) { isOwner = isOwner || record.flow == tuple; });
            if (isOwner && !dead[i]) {
                return i;
            }
        }
        return std::nullopt;
    }

    /** Takes the actions of an agent and executes them. */
    void collect(std::size_t index)
    {
        for (AgentAction &action : agents[index]->takeActions()) {
            if (auto *send = std::get_if<SendMessage>(&action)) {
                if (send->to == balancerAddress()) {
                    handleAtBalancer(index, send->message);
                } else if (send->to.address - 1 < agents.size()) {
                    post(index, send->to.address - 1, std::move(send->message));
                }
            } else if (auto *deliver = std::get_if<DeliverPacket>(&action)) {
                deliveries.push_back({index, deliver->flow, deliver->number, deliver->packet});
                handleDelivery(deliveries.back());
            } else if (auto *reply = std::get_if<SendToCaller>(&action)) {
                toCallers.push_back(reply->packet);
            } else if (auto *close = std::get_if<CloseFlow>(&action)) {
                closed.push_back(close->flow);
            }
        }
    }

    void run(std::int64_t milliseconds)
    {
        const std::int64_t end = now + milliseconds;
        while (now < end) {
            ++now;
            while (!network.empty() && network.begin()->first <= now) {
                const Datagram datagram = std::move(network.begin()->second);
                network.erase(network.begin());
                if (!dead[datagram.to]) {
                    agents[datagram.to]->handleMessage(Timestamp(now), addressOf(datagram.from), datagram.message);
                    collect(datagram.to);
                }
            }
            if (now % 20 == 0) {
                for (std::size_t i = 0; i < agents.size(); ++i) {
                    if (!dead[i]) {
                        agents[i]->tick(Timestamp(now));
                        collect(i);
                    }
                }
            }
        }
    }

protected:
    virtual void handleDelivery(const Delivery &delivery)
    {
    }

private:
    void handleAtBalancer(std::size_t index, const wire::Envelope &message)
    {
        if (!message.has_announce()) {
            return;
        }
        wire::Envelope envelope;
        wire::AnnounceAck *ack = envelope.mutable_announce_ack();
        ack->set_target(message.announce().entry().target());
        ack->set_incarnation(message.announce().entry().incarnation());
        ack->set_configuration_revision(1);
        *ack->mutable_service() = service;
        for (std::size_t i = 0; i < agents.size(); ++i) {
            if (!dead[i]) {
                *ack->add_members() = agents[i]->self();
            }
        }
        for (const std::uint64_t target : removed) {
            ack->add_removed(target);
        }
        post(agents.size(), index, std::move(envelope));
    }
};

} // namespace rhubarblane

#endif
