#ifndef RHUBARBLANE_MEMBERSHIP_MEASURE_FLEET_H
#define RHUBARBLANE_MEMBERSHIP_MEASURE_FLEET_H

#include "membership/membershipcore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Size, network and timing of a simulated fleet. */
struct FleetSettings {
    std::size_t balancers = 10;
    std::size_t regions = 1;
    std::size_t availabilityZonesPerRegion = 4;
    std::size_t seeds = 3;
    /** Share of messages that are lost. */
    double loss = 0.0;
    std::uint64_t randomSeed = 1;
    std::uint64_t bytesPerSecond = 4000;
    /** Time to fetch a new revision from a peer. */
    Milliseconds fetchTime = Milliseconds(50);
};

/**
 * A simulation of membership cores that exchange encoded messages through one queue in virtual time. Delays are 1 to 2
 * ms within an availability zone, 2 ms more between availability zones and 30 ms more between regions.
 */
class Fleet
{
public:
    explicit Fleet(const FleetSettings &settings);

    void run(Milliseconds duration);
    Timestamp now() const
    {
        return now_;
    }

    std::size_t size() const
    {
        return nodes_.size();
    }
    bool isRunning(std::size_t node) const
    {
        return nodes_[node].core != nullptr;
    }
    MembershipCore &core(std::size_t node)
    {
        return *nodes_[node].core;
    }
    const std::string &name(std::size_t node) const
    {
        return nodes_[node].settings.name;
    }
    const std::string &region(std::size_t node) const
    {
        return nodes_[node].settings.region;
    }
    const std::string &availabilityZone(std::size_t node) const
    {
        return nodes_[node].settings.availabilityZone;
    }

    /** Terminates the process without a leave message. */
    void kill(std::size_t node);
    /** Starts the process again with a higher incarnation and empty tables. */
    void start(std::size_t node);
    /** Suspends the process for this time. Its messages are queued. */
    void pause(std::size_t node, Milliseconds duration);
    /** Shifts the process's clock from now on. */
    void jumpClock(std::size_t node, Milliseconds by);
    /** Drops messages from the first to the second process if the function returns true. Null ends the partition. */
    void setPartition(std::function<bool(std::size_t, std::size_t)> partition)
    {
        partition_ = std::move(partition);
    }
    /** Sets a function that is called with sender, receiver and each delivered message. */
    void setObserver(std::function<void(std::size_t, std::size_t, const wire::Gossip &)> observer)
    {
        observer_ = std::move(observer);
    }

    /** Puts a revision into force on the process, as the configuration reader does. */
    void apply(std::size_t node, std::uint64_t revision);
    std::uint64_t appliedRevision(std::size_t node) const
    {
        return nodes_[node].applied;
    }

    /** Returns true if the member is live in the process's view. */
    bool seesLive(std::size_t node, std::size_t member) const;
    /** Returns the number of running processes whose live members are not exactly the running processes. */
    std::size_t divergentViews() const;
    /**
     * Returns the number of running members that a process considered gone, checked and added up whenever the process
     * declared a member gone.
     */
    std::size_t falseDeaths() const
    {
        return falseDeaths_;
    }

    std::uint64_t bytesSent() const
    {
        return bytes_;
    }
    std::uint64_t messagesSent() const
    {
        return messages_;
    }
    std::size_t largestMessage() const
    {
        return largest_;
    }

private:
    struct Node {
        MembershipSettings settings;
        std::unique_ptr<MembershipCore> core;
        std::uint64_t incarnation = 0;
        Milliseconds clockOffset;
        Timestamp pausedUntil;
        std::uint64_t fetching = 0;
        std::uint64_t applied = 0;
        std::uint64_t declared = 0;
    };

    enum class Kind {
        Deliver,
        Tick,
        Fetched,
    };

    struct Event {
        Timestamp at;
        std::uint64_t order = 0;
        Kind kind = Kind::Tick;
        std::size_t node = 0;
        std::size_t from = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t revision = 0;
        std::string bytes;

        friend bool operator>(const Event &a, const Event &b)
        {
            return b.at < a.at || (a.at == b.at && a.order > b.order);
        }
    };

    void push(Event event);
    void handle(Event &event);
    void collect(std::size_t node);
    Milliseconds delay(std::size_t from, std::size_t to);

    FleetSettings settings_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events_;
    std::function<bool(std::size_t, std::size_t)> partition_;
    std::function<void(std::size_t, std::size_t, const wire::Gossip &)> observer_;
    Timestamp now_ = Timestamp(1000);
    std::uint64_t order_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t messages_ = 0;
    std::size_t largest_ = 0;
    std::size_t falseDeaths_ = 0;
};

} // namespace rhubarblane

#endif
