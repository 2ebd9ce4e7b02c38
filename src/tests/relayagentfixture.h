#ifndef RHUBARBLANE_TESTS_RELAYAGENTFIXTURE_H
#define RHUBARBLANE_TESTS_RELAYAGENTFIXTURE_H

#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace rhubarblane
{

/** An agent of a target that has just started; the tests write the messages and packets of the others. */
struct RelayAgentFixture {
    RelayAgentFixture()
    {
        report(1, 5000);
        output.clear();
    }

    bool report(std::uint64_t sequence, std::int64_t started, bool draining = false, const std::string &id = "desk-1")
    {
        TargetReport report;
        report.target = id;
        report.group = "desk";
        report.started = started;
        report.sequence = sequence;
        report.slots = 1;
        report.draining = draining;
        return agent.onTargetReport(now, report);
    }

    void forward(const std::string &packet,
                 ForwardMode mode,
                 std::uint32_t acceptedWait = 0,
                 const std::string &group = "desk",
                 std::uint32_t coldLimit = 0)
    {
        wire::relay::Message message;
        message.mutable_forward()->set_group(groupIdOf(group).value());
        message.mutable_forward()->set_mode(static_cast<std::uint32_t>(mode));
        message.mutable_forward()->set_accepted_wait_ms(acceptedWait);
        message.mutable_forward()->set_cold_limit(coldLimit);
        message.mutable_forward()->set_packet(packet);
        agent.onPeerMessage(now, balancer, message);
    }

    void open(const RelayCaller &sender)
    {
        forward(sender.opening(), ForwardMode::Open);
        agent.onTargetPacket(now, sender.answer(true, 0));
    }

    /** Returns the reason of the first returned packet, or no value if none was returned. */
    std::optional<ReturnReason> returned() const
    {
        for (const auto &[peer, message] : output.toPeers) {
            if (message.has_returned()) {
                return static_cast<ReturnReason>(message.returned().reason());
            }
        }
        return std::nullopt;
    }

    std::optional<FlowPresence> answered() const
    {
        std::optional<FlowPresence> presence;
        for (const auto &[peer, message] : output.toPeers) {
            if (message.has_flow_answer()) {
                presence = static_cast<FlowPresence>(message.flow_answer().presence());
            }
        }
        return presence;
    }

    /** Advances the time with regular ticks, so that the agent detects no pause of its process. */
    void advance(std::int64_t milliseconds)
    {
        const Timestamp end = now + Milliseconds(milliseconds);
        while (now < end) {
            now = now + Milliseconds(20);
            agent.onTick(now);
        }
    }

    /** Returns the next report of a target that was running before its agent was restarted. */
    static TargetReport reportOfRunningTarget()
    {
        TargetReport running;
        running.target = "desk-1";
        running.group = "desk";
        running.started = 5000;
        running.sequence = 40;
        return running;
    }

    static wire::relay::Message forwarded(const std::string &packet, ForwardMode mode)
    {
        wire::relay::Message message;
        message.mutable_forward()->set_group(groupIdOf("desk").value());
        message.mutable_forward()->set_mode(static_cast<std::uint32_t>(mode));
        message.mutable_forward()->set_packet(packet);
        return message;
    }

    Timestamp now {100000};
    PlainPacketFormat format;
    RecordedOutput output;
    PeerAddress balancer {0x0a000001, 7720};
    RelayAgent agent {{relayPeer("agent-1", PeerRole::Agent, 9), "desk", Milliseconds(1000), {}}, now, format, output};
    RelayCaller caller {40001};
    RelayCaller other {40002};
};

} // namespace rhubarblane

#endif
