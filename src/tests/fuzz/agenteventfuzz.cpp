// libFuzzer target for sequences of packets, losses, crashes, drains and joins in one group. It checks that a request
// runs at most once, and that a request refused as "not run" never runs.
#include "tests/agentharness.h"

#include <cstdlib>
#include <set>

using namespace rhubarblane;

namespace
{

constexpr std::uint16_t FirstPort = 2000;
constexpr std::uint16_t Ports = 6;
constexpr std::size_t GroupSize = 3;
constexpr std::size_t LargestGroup = 5;
// Duplicates of a packet may arrive for 10 s; later ones count as new packets.
constexpr std::int64_t DuplicateWindowMs = 9000;
constexpr std::uint8_t NotRunCode = 13;

class EventRun : public AgentHarness
{
public:
    EventRun()
    {
        isLost = [this](const Datagram &) { return lossesLeft_ > 0 && lossesLeft_-- > 0; };
        startGroup(GroupSize);
    }

    void apply(std::uint8_t operation, std::uint8_t argument)
    {
        const std::size_t index = argument % agents.size();
        switch (operation % 8) {
        case 0:
        case 1:
        case 2:
            sendOpening(index, static_cast<std::uint16_t>(FirstPort + argument / 8 % Ports));
            break;
        case 3:
            run(argument % 16 + 1);
            break;
        case 4:
            run(std::int64_t {4} * argument);
            break;
        case 5:
            lossesLeft_ = argument % 4;
            break;
        case 6:
            changeMembership(index, argument);
            break;
        default:
            endFlow(argument);
            break;
        }
    }

    void check() const
    {
        std::map<std::uint16_t, int> runs;
        for (const Delivery &delivery : deliveries) {
            if (++runs[delivery.flow.callerPort] > 1) {
                std::abort();
            }
        }
        for (const std::string &packet : toCallers) {
            // In an ICMP unreachable the type and code follow the IP header, and the quoted packet starts 8 bytes
            // later.
            const bool isNotRun = packet.size() > 52 && packet[9] == 1 && packet[20] == 3 && packet[21] == NotRunCode;
            if (!isNotRun) {
                continue;
            }
            const auto high = static_cast<std::uint8_t>(packet[48]);
            const auto low = static_cast<std::uint8_t>(packet[49]);
            if (runs.count(static_cast<std::uint16_t>(high << 8 | low)) != 0) {
                std::abort();
            }
        }
    }

private:
    void sendOpening(std::size_t index, std::uint16_t port)
    {
        const auto [first, isNew] = firstSent_.emplace(port, now);
        if (!isNew && now - first->second > DuplicateWindowMs) {
            return;
        }
        sendTo(index, flow(port), buildUdpRequest(flow(port), "request"));
    }

    void changeMembership(std::size_t index, std::uint8_t argument)
    {
        if (argument >= 192 && agents.size() < LargestGroup) {
            add("target-" + std::to_string(agents.size()));
        } else if (argument >= 128) {
            agent(index).beginDrain(Timestamp(now), Timestamp(now + 2000));
        } else if (argument >= 96) {
            dead[index] = true;
        }
    }

    void endFlow(std::uint8_t argument)
    {
        if (deliveries.empty()) {
            return;
        }
        const Delivery delivery = deliveries[argument % deliveries.size()];
        if (!dead[delivery.agent]) {
            agent(delivery.agent).handleTargetClosed(Timestamp(now), delivery.flow, delivery.number);
            collect(delivery.agent);
        }
    }

    std::map<std::uint16_t, std::int64_t> firstSent_;
    int lossesLeft_ = 0;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr std::size_t LargestInput = 128;
    EventRun events;
    for (std::size_t i = 0; i + 1 < std::min(size, LargestInput); i += 2) {
        events.apply(data[i], data[i + 1]);
    }
    events.run(2000);
    events.check();
    return 0;
}
