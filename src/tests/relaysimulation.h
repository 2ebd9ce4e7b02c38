#ifndef RHUBARBLANE_TESTS_RELAYSIMULATION_H
#define RHUBARBLANE_TESTS_RELAYSIMULATION_H

#include "relay/relayagent.h"
#include "relay/relaybalancer.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** A packet format of the plain bytes of the header fields; the payload has a length but no content. */
class PlainPacketFormat : public PacketFormat
{
public:
    struct Bytes {
        std::uint32_t source = 0;
        std::uint32_t destination = 0;
        std::uint16_t sourcePort = 0;
        std::uint16_t destinationPort = 0;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledgement = 0;
        std::uint32_t payloadBytes = 0;
        std::uint32_t tag = 0;
        bool opening = false;
        bool acknowledging = false;
        bool closing = false;
        bool reset = false;
        bool returned = false;
    };

    static std::string encode(const Bytes &bytes)
    {
        return {reinterpret_cast<const char *>(&bytes), sizeof(bytes)};
    }

    static Bytes bytesOf(std::string_view packet)
    {
        Bytes bytes;
        std::memcpy(&bytes, packet.data(), std::min(packet.size(), sizeof(bytes)));
        return bytes;
    }

    std::optional<RelayPacket> decode(std::string_view packet, PacketOrigin origin) const override
    {
        if (packet.size() != sizeof(Bytes)) {
            return std::nullopt;
        }
        const Bytes bytes = bytesOf(packet);
        RelayPacket head;
        const bool fromCaller = origin == PacketOrigin::Caller || bytes.returned;
        head.flow.callerAddress = fromCaller ? bytes.source : bytes.destination;
        head.flow.callerPort = fromCaller ? bytes.sourcePort : bytes.destinationPort;
        head.flow.serviceAddress = fromCaller ? bytes.destination : bytes.source;
        head.flow.servicePort = fromCaller ? bytes.destinationPort : bytes.sourcePort;
        head.flow.protocol = Protocol::Tcp;
        head.opening = bytes.opening;
        head.acknowledging = bytes.acknowledging;
        head.closing = bytes.closing;
        head.reset = bytes.reset;
        head.returned = bytes.returned;
        head.sequence = bytes.sequence;
        head.acknowledgement = bytes.acknowledgement;
        head.payloadBytes = bytes.payloadBytes;
        head.tag = bytes.tag;
        return head;
    }

    void setTag(std::string &packet, std::uint32_t tag) const override
    {
        Bytes bytes = bytesOf(packet);
        bytes.tag = tag;
        packet = encode(bytes);
    }

    void restore(std::string &packet) const override
    {
        Bytes bytes = bytesOf(packet);
        bytes.tag = 0;
        bytes.returned = false;
        packet = encode(bytes);
    }

    std::string makeReset(const RelayPacket &answered) const override
    {
        Bytes bytes;
        bytes.source = answered.flow.serviceAddress;
        bytes.sourcePort = answered.flow.servicePort;
        bytes.destination = answered.flow.callerAddress;
        bytes.destinationPort = answered.flow.callerPort;
        bytes.sequence = answered.acknowledgement;
        bytes.reset = true;
        return encode(bytes);
    }
};

/** Records the output of an agent or balancer under test. */
class RecordedOutput : public RelayOutput
{
public:
    std::vector<std::pair<PeerAddress, wire::relay::Message>> toPeers;
    std::vector<std::string> toTarget;
    std::vector<std::string> toCallers;
    std::vector<std::string> decisions;

    void sendToPeer(const PeerAddress &peer, const wire::relay::Message &message) override
    {
        toPeers.emplace_back(peer, message);
    }
    void sendToTarget(std::string packet) override
    {
        toTarget.push_back(std::move(packet));
    }
    void sendToCaller(std::uint32_t callerAddress, std::string packet) override
    {
        toCallers.push_back(std::move(packet));
    }
    void logDecision(std::string_view event, DecisionFields fields) override
    {
        decisions.emplace_back(event);
    }

    void clear()
    {
        toPeers.clear();
        toTarget.clear();
        toCallers.clear();
        decisions.clear();
    }

    bool hasDecision(const std::string &event) const
    {
        return std::find(decisions.begin(), decisions.end(), event) != decisions.end();
    }
};

/** Builds the packets of one caller. */
struct RelayCaller {
    FlowTuple flow;

    explicit RelayCaller(std::uint16_t port)
    {
        flow.callerAddress = 0x64400007;
        flow.callerPort = port;
        flow.serviceAddress = 0xc6120001;
        flow.servicePort = 443;
        flow.protocol = Protocol::Tcp;
    }

    PlainPacketFormat::Bytes head() const
    {
        PlainPacketFormat::Bytes bytes;
        bytes.source = flow.callerAddress;
        bytes.sourcePort = flow.callerPort;
        bytes.destination = flow.serviceAddress;
        bytes.destinationPort = flow.servicePort;
        return bytes;
    }

    std::string opening(std::uint32_t sequence = 0) const
    {
        PlainPacketFormat::Bytes bytes = head();
        bytes.opening = true;
        bytes.sequence = sequence;
        return PlainPacketFormat::encode(bytes);
    }

    std::string data(std::uint32_t sequence, std::uint32_t bytes = 100) const
    {
        PlainPacketFormat::Bytes packet = head();
        packet.acknowledging = true;
        packet.acknowledgement = 7000;
        packet.sequence = sequence;
        packet.payloadBytes = bytes;
        return PlainPacketFormat::encode(packet);
    }

    std::string answer(bool opening, std::uint32_t payload, bool reset = false) const
    {
        PlainPacketFormat::Bytes bytes;
        bytes.source = flow.serviceAddress;
        bytes.sourcePort = flow.servicePort;
        bytes.destination = flow.callerAddress;
        bytes.destinationPort = flow.callerPort;
        bytes.opening = opening;
        bytes.acknowledging = true;
        bytes.payloadBytes = payload;
        bytes.reset = reset;
        return PlainPacketFormat::encode(bytes);
    }

    /** Converts a packet to the form in which a target returns it. */
    static std::string returned(const std::string &packet)
    {
        PlainPacketFormat::Bytes bytes = PlainPacketFormat::bytesOf(packet);
        bytes.returned = true;
        return PlainPacketFormat::encode(bytes);
    }
};

inline Peer relayPeer(const std::string &name, PeerRole role, std::uint32_t host, const std::string &zone = "a")
{
    return {name, role, zone, {0x0a000000U + host, 7720}, 1000};
}

inline StorePosition relayPosition(std::uint64_t revision, std::uint64_t era = 1)
{
    return {StoreEra(era), Revision(revision)};
}

inline ServiceTable relayTable(std::uint64_t version, const std::string &group = "desk")
{
    ServiceTable table;
    table.version = TableVersion(version);
    RelayedService service;
    service.name = "booking";
    service.address = {0xc6120001, 443};
    service.groups = {{group, groupIdOf(group), 1}};
    service.timeout = Milliseconds(1000);
    service.objective = Milliseconds(100);
    table.services[service.address] = service;
    return table;
}

/**
 * Simulates balancers, agents and targets in one process with virtual time. Each message takes 1 ms. Targets hold
 * flows, answer a request after 10 ms, and return packets of flows that they do not hold.
 */
class RelaySimulation
{
public:
    struct Target {
        std::string id;
        std::string group;
        std::int64_t started = 0;
        std::uint64_t sequence = 0;
        bool alive = true;
        bool draining = false;
        bool resetsRequests = false; ///< Resets its flows instead of answering requests.
        std::set<std::uint16_t> flows; ///< The flows held, by the callers' ports.
        std::uint64_t requests = 0;
        Timestamp coldUntil = Timestamp(); ///< Reported in the status reports.
        std::vector<Timestamp> openings =
            {}; ///< Arrivals of the opening packets of flows that the target did not hold.

        /** Returns the highest number of openings within any second. */
        std::size_t mostOpeningsInSecond() const
        {
            std::size_t most = 0;
            for (auto first = openings.begin(); first != openings.end(); ++first) {
                const auto last = std::find_if(
                    first, openings.end(), [first](Timestamp time) { return time - *first > Milliseconds(1000); });
                most = std::max<std::size_t>(most, last - first);
            }
            return most;
        }
    };

    struct Vm : RelayOutput {
        Vm(RelaySimulation &owner, Peer self)
            : simulation(owner)
            , peer(std::move(self))
        {
        }

        void sendToPeer(const PeerAddress &to, const wire::relay::Message &message) override
        {
            const PeerAddress from = peer.address;
            simulation.schedule(1, [this, from, to, message] { simulation.deliver(from, to, message); });
        }
        void sendToTarget(std::string packet) override
        {
            simulation.schedule(1, [this, packet] { simulation.deliverToTarget(*this, packet); });
        }
        void sendToCaller(std::uint32_t, std::string packet) override
        {
            const PlainPacketFormat::Bytes bytes = PlainPacketFormat::bytesOf(packet);
            simulation.line() << "caller " << bytes.destinationPort << (bytes.reset ? " gets reset" : "")
                              << (bytes.opening ? " is open" : "") << (bytes.payloadBytes > 0 ? " gets answer" : "")
                              << (bytes.reset ? "" : " from " + peer.name) << "\n";
            if (bytes.reset) {
                ++simulation.resets;
            }
            if (bytes.payloadBytes > 0) {
                ++simulation.answers;
            }
        }
        void logDecision(std::string_view event, DecisionFields fields) override
        {
            if (event == "flowOpened") {
                return; // The line of the caller already contains it.
            }
            simulation.line() << peer.name << ": " << event;
            for (const auto &[name, value] : fields) {
                if (name != "flow" && name != "incarnation" && name != "started" && name != "sequence") {
                    simulation.transcript << " " << name << "=" << value;
                }
            }
            simulation.transcript << "\n";
        }

        RelaySimulation &simulation;
        Peer peer;
        bool running = true;
        bool storeUnreachable = false;
        std::unique_ptr<RelayBalancer> balancer;
        std::unique_ptr<RelayAgent> agent;
        Target target;
    };

    Vm &addBalancer(const std::string &name, std::uint32_t host, std::vector<PeerAddress> seeds = {})
    {
        Vm &vm = add(relayPeer(name, PeerRole::Balancer, host));
        startBalancer(vm, std::move(seeds));
        return vm;
    }

    Vm &addAgent(const std::string &name,
                 std::uint32_t host,
                 const std::string &group,
                 const std::string &targetId,
                 const std::string &zone = "a")
    {
        Vm &vm = add(relayPeer(name, PeerRole::Agent, host, zone));
        vm.target = Target {targetId, group, now_.milliseconds() + 1, 0, true, false, false, {}, 0};
        startAgent(vm);
        return vm;
    }

    void startBalancer(Vm &vm, std::vector<PeerAddress> seeds = {})
    {
        vm.running = true;
        vm.peer.incarnation = static_cast<std::uint64_t>(now_.milliseconds()) + 1000;
        RelayBalancerSettings settings;
        settings.self = vm.peer;
        settings.seeds = std::move(seeds);
        settings.evacuations = evacuations.has_value();
        vm.balancer = std::make_unique<RelayBalancer>(settings, now_, format_, vm);
        readStorePeers(vm);
        if (table && !vm.storeUnreachable) {
            vm.balancer->onTable(now_, *table, "store");
        }
        if (evacuations && !vm.storeUnreachable) {
            vm.balancer->onEvacuations(now_, *evacuations, "store");
        }
    }

    void startAgent(Vm &vm, std::vector<PeerAddress> seeds = {})
    {
        vm.running = true;
        vm.peer.incarnation = static_cast<std::uint64_t>(now_.milliseconds()) + 1000;
        vm.agent = std::make_unique<RelayAgent>(
            RelayAgentSettings {vm.peer, vm.target.group, Milliseconds(1000), std::move(seeds)}, now_, format_, vm);
        readStorePeers(vm);
    }

    /** Publishes a new table in the store; VMs that cannot reach the store do not receive it. */
    void setTable(ServiceTable newTable)
    {
        table = std::move(newTable);
        for (auto &[address, vm] : vms_) {
            if (vm->balancer && vm->running && !vm->storeUnreachable) {
                vm->balancer->onTable(now_, *table, "store");
            }
        }
    }

    /** Changes the evacuations in the store; VMs that cannot reach the store do not receive them. */
    void setEvacuations(std::uint64_t revision, std::set<std::string> zones)
    {
        evacuations = EvacuatedZones {relayPosition(revision, storeEra), std::move(zones)};
        for (auto &[address, vm] : vms_) {
            if (vm->balancer && vm->running && !vm->storeUnreachable) {
                vm->balancer->onEvacuations(now_, *evacuations, "store");
            }
        }
    }

    void send(Vm &balancer, const std::string &packet)
    {
        schedule(1, [this, &balancer, packet] {
            if (balancer.running) {
                balancer.balancer->onCallerPacket(now_, packet);
            }
        });
    }

    void run(std::int64_t milliseconds)
    {
        const Timestamp end = now_ + Milliseconds(milliseconds);
        while (now_ < end) {
            now_ = now_ + Milliseconds(1);
            while (!events_.empty() && events_.begin()->first <= now_) {
                const std::function<void()> event = events_.begin()->second;
                events_.erase(events_.begin());
                event();
            }
            if (now_.milliseconds() % 20 == 0) {
                tick();
            }
        }
    }

    std::ostream &line()
    {
        return transcript << now_.milliseconds() << " ";
    }

    Timestamp now() const
    {
        return now_;
    }

    std::ostringstream transcript;
    std::optional<ServiceTable> table;
    /** Rises when the store is restored from a backup. */
    std::uint64_t storeEra = 1;
    /** Set if the deployment has evacuations. */
    std::optional<EvacuatedZones> evacuations;
    int resets = 0;
    int answers = 0;

private:
    Vm &add(Peer peer)
    {
        const PeerAddress address = peer.address;
        vms_[address] = std::make_unique<Vm>(*this, std::move(peer));
        return *vms_[address];
    }

    /** Passes the peers in the store to a starting process. */
    void readStorePeers(Vm &vm)
    {
        if (vm.storeUnreachable) {
            return;
        }
        std::vector<Peer> peers;
        for (const auto &[address, other] : vms_) {
            peers.push_back(other->peer);
        }
        if (vm.balancer) {
            vm.balancer->onStorePeers(now_, peers, LeaseHistory::Kept);
        }
        if (vm.agent) {
            vm.agent->onStorePeers(now_, peers);
        }
    }

    void schedule(std::int64_t milliseconds, std::function<void()> event)
    {
        events_.emplace(now_ + Milliseconds(milliseconds), std::move(event));
    }

    void deliver(const PeerAddress &from, const PeerAddress &to, const wire::relay::Message &message)
    {
        const auto found = vms_.find(to);
        if (found == vms_.end() || !found->second->running) {
            return;
        }
        if (found->second->balancer) {
            found->second->balancer->onPeerMessage(now_, from, message);
        } else {
            found->second->agent->onPeerMessage(now_, from, message);
        }
    }

    void deliverToTarget(Vm &vm, const std::string &packet)
    {
        if (!vm.target.alive) {
            return;
        }
        const PlainPacketFormat::Bytes bytes = PlainPacketFormat::bytesOf(packet);
        RelayCaller caller(bytes.sourcePort);
        const bool held = vm.target.flows.count(bytes.sourcePort) > 0;
        if (!held && !bytes.opening) {
            sendFromTarget(vm, 1, RelayCaller::returned(packet));
            return;
        }
        if (!held) {
            vm.target.openings.push_back(now_);
        }
        vm.target.flows.insert(bytes.sourcePort);
        if (bytes.opening) {
            sendFromTarget(vm, 1, caller.answer(true, 0));
        } else if (bytes.payloadBytes > 0) {
            ++vm.target.requests;
            if (vm.target.resetsRequests) {
                vm.target.flows.erase(bytes.sourcePort);
                sendFromTarget(vm, 1, caller.answer(false, 0, true));
            } else {
                sendFromTarget(vm, 10, caller.answer(false, 50));
            }
        }
    }

    void sendFromTarget(Vm &vm, std::int64_t milliseconds, const std::string &packet)
    {
        schedule(milliseconds, [this, &vm, packet] {
            if (vm.running && vm.target.alive) {
                vm.agent->onTargetPacket(now_, packet);
            }
        });
    }

    void tick()
    {
        for (auto &[address, vm] : vms_) {
            if (!vm->running) {
                continue;
            }
            if (vm->balancer) {
                vm->balancer->onTick(now_);
                continue;
            }
            if (vm->target.alive && now_.milliseconds() % 1000 == 0) {
                TargetReport report;
                report.target = vm->target.id;
                report.group = vm->target.group;
                report.started = vm->target.started;
                report.sequence = ++vm->target.sequence;
                report.slots = 2;
                report.draining = vm->target.draining;
                report.coldFor = std::max(Milliseconds(0), vm->target.coldUntil - now_);
                vm->agent->onTargetReport(now_, report);
            }
            vm->agent->onTick(now_);
        }
    }

    PlainPacketFormat format_;
    Timestamp now_;
    std::map<PeerAddress, std::unique_ptr<Vm>> vms_;
    std::multimap<Timestamp, std::function<void()>> events_;
};

} // namespace rhubarblane

#endif
