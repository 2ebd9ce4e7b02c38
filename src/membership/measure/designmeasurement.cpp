#include "membership/measure/measurement.h"
#include "membership/membershipcore.h"

#include <cmath>

namespace rhubarblane
{

namespace
{

constexpr std::size_t Balancers = 14000;
constexpr std::size_t Targets = 92000;
constexpr std::size_t Services = 11000;
constexpr std::size_t AvailabilityZones = 10;
constexpr double RevisionsPerSecond = 24000.0 / 86400.0;
/** 190 failures and 6,900 replacements a day. Each removes and adds an entry, and most also drain one. */
constexpr double EntryChangesPerSecond = (190.0 + 6900.0) * 3.0 / 86400.0;

std::string zoneOf(std::size_t balancer)
{
    const std::size_t zone = balancer % AvailabilityZones;
    return "region-" + std::to_string(zone % 4) + "-" + std::string(1, static_cast<char>('a' + zone / 4));
}

class DesignSize
{
public:
    DesignSize(std::uint64_t seed, std::uint64_t bytesPerSecond)
        : random_(seed)
        , core_(settings(seed, bytesPerSecond))
    {
    }

    Measurement run(double seconds);

private:
    static MembershipSettings settings(std::uint64_t seed, std::uint64_t bytesPerSecond)
    {
        MembershipSettings result;
        result.name = "balancer-0";
        result.incarnation = Incarnation(1700000000000ULL);
        result.address = addressOf(0);
        result.httpAddress = addressOf(0);
        result.availabilityZone = zoneOf(0);
        result.region = "region-0";
        result.randomSeed = seed;
        result.bytesPerSecond = bytesPerSecond;
        return result;
    }
    static PeerAddress addressOf(std::size_t balancer)
    {
        return PeerAddress {0x0a000000 + static_cast<std::uint32_t>(balancer), 7000};
    }
    static wire::BalancerEntry balancerEntry(std::size_t number);
    static wire::TargetEntry targetEntry(std::size_t number, std::uint64_t sequence, wire::MemberState state);
    wire::Gossip from(std::size_t balancer, wire::Gossip::Kind kind);
    void deliver(std::size_t balancer, const wire::Gossip &message);
    void answerProbes();
    /** Returns true with the probability of an event of this rate in one step of 100 ms. */
    bool happens(double perSecond)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < perSecond / 10.0;
    }

    std::mt19937_64 random_;
    MembershipCore core_;
    Timestamp now_ = Timestamp(1000);
    std::uint64_t revision_ = 1;
    std::uint64_t sequence_ = 2;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t sentMessages_ = 0;
    std::uint64_t receivedBytes_ = 0;
    std::uint64_t receivedMessages_ = 0;
    double messageSeconds_ = 0.0;
};

wire::BalancerEntry DesignSize::balancerEntry(std::size_t number)
{
    const std::string name = "balancer-" + std::to_string(number);
    wire::BalancerEntry entry;
    entry.set_balancer(balancerIdOf(name).value());
    entry.set_name(name);
    entry.set_incarnation(1700000000000ULL);
    entry.set_sequence(1);
    entry.set_state(wire::SERVING);
    *entry.mutable_address() = toWire(addressOf(number));
    *entry.mutable_http_address() = toWire(addressOf(number));
    entry.set_availability_zone(zoneOf(number));
    entry.set_region("region-" + std::to_string(number % AvailabilityZones % 4));
    return entry;
}

wire::TargetEntry DesignSize::targetEntry(std::size_t number, std::uint64_t sequence, wire::MemberState state)
{
    const std::string name = "target-" + std::to_string(number);
    wire::TargetEntry entry;
    entry.set_target(targetIdOf(name).value());
    entry.set_name(name);
    entry.set_incarnation(1700000000000ULL);
    entry.set_sequence(sequence);
    entry.set_state(state);
    *entry.mutable_address() = toWire(PeerAddress {0x0b000000 + static_cast<std::uint32_t>(number), 9000});
    entry.set_client("client-" + std::to_string(number % 500));
    entry.set_availability_zone(zoneOf(number));
    wire::Label &label = *entry.add_labels();
    label.set_key("service");
    label.set_value("service-" + std::to_string(number % Services));
    entry.set_slots(4);
    entry.set_capacity_milli(1000);
    entry.set_service(serviceIdOf(label.value()).value());
    return entry;
}

wire::Gossip DesignSize::from(std::size_t balancer, wire::Gossip::Kind kind)
{
    wire::Gossip message;
    message.set_kind(kind);
    message.set_sender(balancerIdOf("balancer-" + std::to_string(balancer)).value());
    message.set_incarnation(1700000000000ULL);
    message.set_sequence(1);
    message.set_configuration_revision(revision_);
    message.set_configuration_digest(revision_);
    message.set_member_digest(core_.memberTable().digests().root());
    message.set_target_digest(core_.targets().digests().root());
    return message;
}

void DesignSize::deliver(std::size_t balancer, const wire::Gossip &message)
{
    wire::Envelope envelope;
    *envelope.mutable_gossip() = message;
    const std::string bytes = envelope.SerializeAsString();
    receivedBytes_ += bytes.size() + 68;
    ++receivedMessages_;
    const double start = processorSeconds();
    wire::Envelope parsed;
    parsed.ParseFromString(bytes);
    core_.handleMessage(now_, addressOf(balancer), parsed.gossip());
    messageSeconds_ += processorSeconds() - start;
}

void DesignSize::answerProbes()
{
    for (const MembershipSend &action : core_.takeActions()) {
        const std::string bytes = action.message.SerializeAsString();
        sentBytes_ += bytes.size() + 68;
        ++sentMessages_;
        if (action.message.gossip().kind() == wire::Gossip::PROBE) {
            const std::size_t peer = action.to.address - 0x0a000000;
            deliver(peer, from(peer, wire::Gossip::ACK));
        }
    }
}

Measurement DesignSize::run(double seconds)
{
    Measurement result;
    const double empty = allocatedBytes();
    core_.tick(now_);
    for (std::size_t i = 1; i < Balancers; i += 10) {
        wire::Gossip message = from(i, wire::Gossip::SPREAD);
        for (std::size_t j = i; j < std::min(i + 10, Balancers); ++j) {
            *message.add_balancers() = balancerEntry(j);
        }
        deliver(i, message);
    }
    const double members = allocatedBytes();
    for (std::size_t i = 0; i < Targets; i += 8) {
        wire::Gossip message = from(1, wire::Gossip::SPREAD);
        for (std::size_t j = i; j < std::min(i + 8, Targets); ++j) {
            *message.add_targets() = targetEntry(j, 1, wire::SERVING);
        }
        deliver(1, message);
    }
    result.set("load.messageMicroseconds", messageSeconds_ * 1e6 / static_cast<double>(receivedMessages_));
    core_.takeChangedTargets();
    core_.takeActions();
    // The rumors caused by loading the tables are sent before the measurement starts.
    for (int i = 0; i < 20000; ++i) {
        now_ = now_ + Milliseconds(100);
        core_.tick(now_);
        answerProbes();
    }
    malloc_trim(0);
    const double loaded = allocatedBytes();
    result.set("memory.membersBytes", members - empty);
    result.set("memory.allBytes", loaded - empty);
    result.set("members", static_cast<double>(core_.memberTable().liveCount()));
    result.set("targets", static_cast<double>(core_.targets().liveCount()));

    // On average a process receives each rumor as often as each process sends it.
    const double copies = 6.0 + std::ceil(std::log(static_cast<double>(Balancers)));
    std::vector<wire::TargetEntry> recent;
    sentBytes_ = sentMessages_ = receivedBytes_ = receivedMessages_ = 0;
    messageSeconds_ = 0.0;
    const double start = processorSeconds();
    double tickSeconds = 0.0;
    const auto ticks = static_cast<int>(seconds * 10.0);
    for (int i = 0; i < ticks; ++i) {
        now_ = now_ + Milliseconds(100);
        if (happens(RevisionsPerSecond)) {
            ++revision_;
        }
        // Three members probe this one once per second.
        for (int watcher = 0; watcher < 3; ++watcher) {
            if (happens(1.0)) {
                deliver(1 + random_() % (Balancers - 1), from(1 + random_() % (Balancers - 1), wire::Gossip::PROBE));
            }
        }
        if (happens(EntryChangesPerSecond)) {
            recent.push_back(targetEntry(random_() % Targets, sequence_++, wire::SERVING));
        }
        for (int copy = 0; copy < static_cast<int>(copies); ++copy) {
            if (happens(RevisionsPerSecond)) {
                const std::size_t peer = 1 + random_() % (Balancers - 1);
                deliver(peer, from(peer, wire::Gossip::SPREAD));
            }
            if (!recent.empty() && happens(EntryChangesPerSecond)) {
                const std::size_t peer = 1 + random_() % (Balancers - 1);
                wire::Gossip message = from(peer, wire::Gossip::SPREAD);
                *message.add_targets() =
                    recent[recent.size() - 1 - random_() % std::min<std::size_t>(recent.size(), 3)];
                deliver(peer, message);
            }
        }
        if (const auto peer = core_.newestConfigurationPeer()) {
            core_.setConfiguration(peer->revision, peer->digest);
        }
        const double before = processorSeconds();
        core_.tick(now_);
        tickSeconds += processorSeconds() - before;
        answerProbes();
        core_.takeChangedTargets();
    }
    const double virtualSeconds = ticks / 10.0;
    result.set("run.seconds", virtualSeconds);
    result.set("run.sentBytesPerSecond", static_cast<double>(sentBytes_) / virtualSeconds);
    result.set("run.sentMessagesPerSecond", static_cast<double>(sentMessages_) / virtualSeconds);
    result.set("run.receivedBytesPerSecond", static_cast<double>(receivedBytes_) / virtualSeconds);
    result.set("run.receivedMessagesPerSecond", static_cast<double>(receivedMessages_) / virtualSeconds);
    result.set("run.bytesPerMessage", static_cast<double>(sentBytes_) / static_cast<double>(sentMessages_));
    result.set("run.messageMicroseconds", messageSeconds_ * 1e6 / static_cast<double>(receivedMessages_));
    result.set("run.tickMicroseconds", tickSeconds * 1e6 / ticks);
    result.set("run.processorMsPerSecond", (processorSeconds() - start) * 1000.0 / virtualSeconds);
    result.set("run.changes", static_cast<double>(recent.size()));
    return result;
}

} // namespace

Measurement measureDesignSize(std::uint64_t seed, std::uint64_t bytesPerSecond, double seconds)
{
    DesignSize design(seed, bytesPerSecond);
    return design.run(seconds);
}

} // namespace rhubarblane
