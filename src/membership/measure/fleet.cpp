#include "membership/measure/fleet.h"

#include <algorithm>
#include <set>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds TickInterval(100);
constexpr std::size_t DatagramOverhead = 28 + 40;
constexpr std::uint32_t FirstAddress = 0x0a000001;

} // namespace

Fleet::Fleet(const FleetSettings &settings)
    : settings_(settings)
    , random_(settings.randomSeed)
    , nodes_(settings.balancers)
{
    std::vector<PeerAddress> seeds;
    for (std::size_t i = 0; i < std::min(settings.seeds, settings.balancers); ++i) {
        seeds.push_back(PeerAddress {FirstAddress + static_cast<std::uint32_t>(i), 7000});
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        MembershipSettings &node = nodes_[i].settings;
        const std::size_t region = i % settings.regions;
        const std::size_t zone = i / settings.regions % settings.availabilityZonesPerRegion;
        node.name = "balancer-" + std::to_string(i);
        node.address = PeerAddress {FirstAddress + static_cast<std::uint32_t>(i), 7000};
        node.httpAddress = PeerAddress {FirstAddress + static_cast<std::uint32_t>(i), 8080};
        node.region = "region-" + std::to_string(region);
        node.availabilityZone = node.region + "-" + std::string(1, static_cast<char>('a' + zone));
        node.seeds = seeds;
        node.bytesPerSecond = settings.bytesPerSecond;
        start(i);
    }
}

void Fleet::push(Event event)
{
    event.order = order_++;
    events_.push(std::move(event));
}

void Fleet::start(std::size_t index)
{
    Node &node = nodes_[index];
    ++node.incarnation;
    node.settings.incarnation = Incarnation(1700000000000ULL + node.incarnation);
    node.settings.randomSeed = random_();
    node.core = std::make_unique<MembershipCore>(node.settings);
    node.fetching = 0;
    node.applied = 0;
    node.declared = 0;
    Event event;
    event.at = now_ + Milliseconds(static_cast<std::int64_t>(random_() % 100));
    event.node = index;
    event.incarnation = node.incarnation;
    push(std::move(event));
}

void Fleet::kill(std::size_t node)
{
    nodes_[node].core.reset();
}

void Fleet::pause(std::size_t node, Milliseconds duration)
{
    nodes_[node].pausedUntil = now_ + duration;
}

void Fleet::jumpClock(std::size_t node, Milliseconds by)
{
    nodes_[node].clockOffset = nodes_[node].clockOffset + by;
}

void Fleet::apply(std::size_t index, std::uint64_t revision)
{
    nodes_[index].applied = std::max(nodes_[index].applied, revision);
    nodes_[index].core->setConfiguration(Revision(revision), revision);
}

Milliseconds Fleet::delay(std::size_t from, std::size_t to)
{
    std::int64_t result = 1 + static_cast<std::int64_t>(random_() % 2);
    if (nodes_[from].settings.region != nodes_[to].settings.region) {
        result += 30;
    } else if (nodes_[from].settings.availabilityZone != nodes_[to].settings.availabilityZone) {
        result += 2;
    }
    return Milliseconds(result);
}

void Fleet::collect(std::size_t index)
{
    Node &node = nodes_[index];
    for (const MembershipSend &action : node.core->takeActions()) {
        Event event;
        event.bytes = action.message.SerializeAsString();
        bytes_ += event.bytes.size() + DatagramOverhead;
        ++messages_;
        largest_ = std::max(largest_, event.bytes.size());
        const std::size_t to = action.to.address - FirstAddress;
        const bool isLost =
            settings_.loss > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random_) < settings_.loss;
        if (to >= nodes_.size() || isLost || (partition_ && partition_(index, to))) {
            continue;
        }
        event.kind = Kind::Deliver;
        event.at = now_ + delay(index, to);
        event.node = to;
        event.from = index;
        push(std::move(event));
    }
    const std::optional<ConfigurationPeer> peer = node.core->newestConfigurationPeer();
    if (peer && peer->revision.value() > node.fetching) {
        node.fetching = peer->revision.value();
        Event event;
        event.kind = Kind::Fetched;
        event.at = now_ + settings_.fetchTime;
        event.node = index;
        event.incarnation = node.incarnation;
        event.revision = node.fetching;
        push(std::move(event));
    }
    // Each declaration is checked at the time it is made.
    if (node.core->counters().declaredGone > node.declared) {
        node.declared = node.core->counters().declaredGone;
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            if (other != index && nodes_[other].core != nullptr && !seesLive(index, other)) {
                const Member *member = node.core->memberTable().member(balancerIdOf(name(other)));
                const bool isCurrent =
                    member != nullptr && member->version.incarnation == nodes_[other].settings.incarnation.value();
                falseDeaths_ += isCurrent ? 1 : 0;
            }
        }
    }
}

void Fleet::handle(Event &event)
{
    const std::size_t index = event.node;
    Node &node = nodes_[index];
    if (node.core == nullptr || (event.kind != Kind::Deliver && event.incarnation != node.incarnation)) {
        return;
    }
    if (now_ < node.pausedUntil) {
        event.at = node.pausedUntil;
        // Messages keep their order, as in a socket's receive buffer.
        events_.push(std::move(event));
        return;
    }
    const Timestamp own = now_ + node.clockOffset;
    if (event.kind == Kind::Tick) {
        node.core->tick(own);
        event.at = now_ + TickInterval;
        push(std::move(event));
    } else if (event.kind == Kind::Fetched) {
        apply(index, event.revision);
    } else {
        wire::Envelope message;
        if (message.ParseFromString(event.bytes)) {
            if (observer_) {
                observer_(event.from, event.node, message.gossip());
            }
            node.core->handleMessage(own, nodes_[event.from].settings.address, message.gossip());
        }
    }
    collect(index);
}

void Fleet::run(Milliseconds duration)
{
    const Timestamp end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
        Event event = events_.top();
        events_.pop();
        now_ = event.at;
        handle(event);
    }
    now_ = end;
}

bool Fleet::seesLive(std::size_t node, std::size_t member) const
{
    const Member *known = nodes_[node].core->memberTable().member(balancerIdOf(name(member)));
    return known != nullptr && !known->version.isGone();
}

std::size_t Fleet::divergentViews() const
{
    std::size_t wrong = 0;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        if (nodes_[node].core == nullptr) {
            continue;
        }
        bool isRight = true;
        for (std::size_t other = 0; other < nodes_.size() && isRight; ++other) {
            isRight = seesLive(node, other) == (nodes_[other].core != nullptr);
        }
        wrong += isRight ? 0 : 1;
    }
    return wrong;
}

} // namespace rhubarblane
