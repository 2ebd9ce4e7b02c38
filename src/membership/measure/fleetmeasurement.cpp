#include "membership/measure/fleet.h"
#include "membership/measure/measurement.h"

namespace rhubarblane
{

namespace
{

constexpr Milliseconds Step(50);

wire::TargetEntry targetEntry(std::size_t number, std::uint64_t sequence, wire::MemberState state)
{
    const std::string name = "target-" + std::to_string(number);
    wire::TargetEntry entry;
    entry.set_target(targetIdOf(name).value());
    entry.set_name(name);
    entry.set_incarnation(1700000000000ULL);
    entry.set_sequence(sequence);
    entry.set_state(state);
    *entry.mutable_address() = toWire(PeerAddress {0x0b000000 + static_cast<std::uint32_t>(number), 9000});
    entry.set_client("sundarban-vitrine");
    entry.set_availability_zone("region-0-a");
    entry.set_slots(4);
    entry.set_capacity_milli(1000);
    entry.set_service(serviceIdOf("service-" + std::to_string(number / 8)).value());
    return entry;
}

/** Runs the fleet until the condition holds. Returns the seconds this took, at most the limit. */
template<typename Condition>
double runUntil(Fleet &fleet, double limitSeconds, const Condition &condition)
{
    const Timestamp start = fleet.now();
    while (!condition()) {
        const double passed = static_cast<double>((fleet.now() - start).count()) / 1000.0;
        if (passed >= limitSeconds) {
            return limitSeconds;
        }
        fleet.run(Step);
    }
    return static_cast<double>((fleet.now() - start).count()) / 1000.0;
}

/** Returns the seconds after which each running process fulfils the condition, at most the limit. */
template<typename Condition>
std::vector<double> timesUntil(Fleet &fleet, double limitSeconds, const Condition &condition)
{
    std::vector<double> times;
    std::vector<bool> done(fleet.size(), false);
    const Timestamp start = fleet.now();
    double passed = 0.0;
    while (times.size() < fleet.size() && passed < limitSeconds) {
        fleet.run(Step);
        passed = static_cast<double>((fleet.now() - start).count()) / 1000.0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (!done[i] && (!fleet.isRunning(i) || condition(i))) {
                done[i] = true;
                times.push_back(passed);
            }
        }
    }
    times.resize(fleet.size(), limitSeconds);
    return times;
}

void append(std::vector<double> &to, const std::vector<double> &values)
{
    to.insert(to.end(), values.begin(), values.end());
}

FleetSettings settingsOf(std::size_t balancers, std::size_t regions, std::uint64_t seed, std::uint64_t bytesPerSecond)
{
    FleetSettings settings;
    settings.balancers = balancers;
    settings.regions = regions;
    settings.randomSeed = seed;
    settings.bytesPerSecond = bytesPerSecond;
    settings.loss = 0.01;
    return settings;
}

/** Measures the rates per balancer and second since the last call of mark(). */
class Meter
{
public:
    explicit Meter(const Fleet &fleet)
        : fleet_(fleet)
    {
        mark();
    }

    void mark()
    {
        start_ = fleet_.now();
        bytes_ = fleet_.bytesSent();
        messages_ = fleet_.messagesSent();
        processor_ = processorSeconds();
    }

    double seconds() const
    {
        return static_cast<double>((fleet_.now() - start_).count()) / 1000.0;
    }
    double bytesPerBalancer() const
    {
        return static_cast<double>(fleet_.bytesSent() - bytes_) / static_cast<double>(fleet_.size());
    }
    void report(Measurement &result, const std::string &name) const
    {
        const double balancerSeconds = seconds() * static_cast<double>(fleet_.size());
        result.set(name + ".bytesPerSecond", bytesPerBalancer() / seconds());
        result.set(name + ".messagesPerSecond",
                   static_cast<double>(fleet_.messagesSent() - messages_) / balancerSeconds);
        result.set(name + ".processorMsPerSecond", (processorSeconds() - processor_) * 1000.0 / balancerSeconds);
    }

private:
    const Fleet &fleet_;
    Timestamp start_;
    std::uint64_t bytes_ = 0;
    std::uint64_t messages_ = 0;
    double processor_ = 0.0;
};

} // namespace

Measurement measureFleet(std::size_t balancers, std::size_t regions, std::uint64_t seed, std::uint64_t bytesPerSecond)
{
    Measurement result;
    result.set("balancers", static_cast<double>(balancers));
    const double memory = allocatedBytes();
    Fleet fleet(settingsOf(balancers, regions, seed, bytesPerSecond));
    Meter meter(fleet);
    result.set("coldStart.seconds", runUntil(fleet, 600.0, [&fleet] { return fleet.divergentViews() == 0; }));
    meter.report(result, "coldStart");
    fleet.run(Milliseconds(10000));
    result.set("memoryBytesPerBalancer", (allocatedBytes() - memory) / static_cast<double>(balancers));

    meter.mark();
    fleet.run(Milliseconds(120000));
    meter.report(result, "quiet");
    const double quietBytes = meter.bytesPerBalancer() / meter.seconds();

    std::vector<double> inForce;
    meter.mark();
    for (std::uint64_t revision = 1; revision <= 20; ++revision) {
        fleet.apply(revision % balancers, revision);
        append(inForce, timesUntil(fleet, 30.0, [&](std::size_t i) { return fleet.appliedRevision(i) >= revision; }));
        fleet.run(Milliseconds(2000));
    }
    result.set("revision.bytesPerChange", (meter.bytesPerBalancer() - quietBytes * meter.seconds()) / 20.0);
    result.setDistribution("revision.seconds", inForce);

    meter.mark();
    std::vector<double> entries;
    for (std::size_t target = 0; target < 20; ++target) {
        const wire::TargetEntry entry = targetEntry(target, 1, wire::SERVING);
        fleet.core(target % balancers).setTarget(entry);
        append(entries, timesUntil(fleet, 60.0, [&](std::size_t i) {
                   return fleet.core(i).targets().entry(TargetId(entry.target())).state() == wire::SERVING;
               }));
        fleet.run(Milliseconds(2000));
    }
    result.set("entry.bytesPerChange", (meter.bytesPerBalancer() - quietBytes * meter.seconds()) / 20.0);
    result.setDistribution("entry.seconds", entries);

    meter.mark();
    std::vector<double> drains;
    for (std::size_t target = 0; target < 20; ++target) {
        const wire::TargetEntry entry = targetEntry(target, 2, wire::DRAINING);
        fleet.core(target % balancers).setTarget(entry);
        append(drains, timesUntil(fleet, 30.0, [&](std::size_t i) {
                   return fleet.core(i).targets().entry(TargetId(entry.target())).state() == wire::DRAINING;
               }));
        fleet.run(Milliseconds(2000));
    }
    result.set("drain.bytesPerChange", (meter.bytesPerBalancer() - quietBytes * meter.seconds()) / 20.0);
    result.setDistribution("drain.seconds", drains);

    std::vector<double> deaths;
    for (std::size_t round = 0; round < 10; ++round) {
        const std::size_t victim = (round * 13 + 3) % balancers;
        fleet.run(Milliseconds(static_cast<std::int64_t>(round) * 137));
        fleet.kill(victim);
        append(deaths, timesUntil(fleet, 30.0, [&](std::size_t i) { return !fleet.seesLive(i, victim); }));
        fleet.start(victim);
        fleet.run(Milliseconds(15000));
    }
    result.setDistribution("death.seconds", deaths);
    result.set("falseDeaths", static_cast<double>(fleet.falseDeaths()));
    result.set("largestMessageBytes", static_cast<double>(fleet.largestMessage()));
    return result;
}

Measurement measureFailures(std::size_t balancers, std::uint64_t seed, std::uint64_t bytesPerSecond)
{
    Measurement result;
    result.set("balancers", static_cast<double>(balancers));
    Fleet fleet(settingsOf(balancers, 1, seed, bytesPerSecond));
    const auto isRight = [&fleet] { return fleet.divergentViews() == 0; };
    runUntil(fleet, 600.0, isRight);
    fleet.run(Milliseconds(30000));

    for (std::size_t i = 0; i < balancers; i += 3) {
        fleet.kill(i);
    }
    result.set("thirdKilled.knownSeconds", runUntil(fleet, 120.0, isRight));
    result.set("thirdKilled.falseDeaths", static_cast<double>(fleet.falseDeaths()));
    for (std::size_t i = 0; i < balancers; i += 3) {
        fleet.start(i);
    }
    result.set("thirdRestarted.knownSeconds", runUntil(fleet, 600.0, isRight));
    fleet.run(Milliseconds(30000));

    fleet.core(0).setTarget(targetEntry(1, 1, wire::SERVING));
    fleet.run(Milliseconds(10000));
    fleet.setPartition([](std::size_t from, std::size_t to) { return (from % 4 < 2) != (to % 4 < 2); });
    fleet.run(Milliseconds(5000));
    fleet.core(0).setTarget(targetEntry(1, 2, wire::GONE));
    fleet.kill(1);
    fleet.run(Milliseconds(120000));
    fleet.setPartition(nullptr);
    Meter meter(fleet);
    result.set("partitionHealed.knownSeconds", runUntil(fleet, 600.0, isRight));
    meter.report(result, "partitionHealed");
    double resurrected = 0;
    for (int second = 0; second < 60; ++second) {
        fleet.run(Milliseconds(1000));
        resurrected += fleet.seesLive(0, 1) ? 1 : 0;
        for (std::size_t i = 0; i < balancers; ++i) {
            const wire::TargetEntry entry = targetEntry(1, 1, wire::SERVING);
            const bool isBack =
                fleet.isRunning(i) && fleet.core(i).targets().entry(TargetId(entry.target())).state() == wire::SERVING;
            resurrected += isBack && second > 30 ? 1 : 0;
        }
    }
    result.set("partitionHealed.resurrected", resurrected);
    fleet.start(1);
    runUntil(fleet, 120.0, isRight);

    for (std::size_t i = 0; i < balancers; ++i) {
        fleet.kill(i);
        fleet.start(i);
    }
    meter.mark();
    result.set("allRestarted.knownSeconds", runUntil(fleet, 600.0, isRight));
    meter.report(result, "allRestarted");
    return result;
}

Measurement measureFalseDeaths(std::size_t balancers, std::uint64_t seed, std::uint64_t bytesPerSecond)
{
    Measurement result;
    result.set("balancers", static_cast<double>(balancers));
    Fleet fleet(settingsOf(balancers, 1, seed, bytesPerSecond));
    runUntil(fleet, 600.0, [&fleet] { return fleet.divergentViews() == 0; });
    fleet.run(Milliseconds(10000));
    std::mt19937_64 random(seed);
    const std::size_t before = fleet.falseDeaths();
    std::vector<int> lastPause(balancers, -10);
    for (int second = 0; second < 3600; ++second) {
        // A process runs at least 1 s between two pauses, which would otherwise merge into a longer one.
        std::size_t node = random() % balancers;
        while (second - lastPause[node] < 3) {
            node = random() % balancers;
        }
        lastPause[node] = second;
        fleet.pause(node, Milliseconds(2000));
        fleet.run(Milliseconds(1000));
    }
    std::uint64_t declarations = 0;
    for (std::size_t i = 0; i < balancers; ++i) {
        declarations += fleet.core(i).counters().declaredGone;
    }
    result.set("hour.pauses", 3600);
    result.set("hour.falseDeaths", static_cast<double>(fleet.falseDeaths() - before));
    result.set("hour.declarations", static_cast<double>(declarations));
    return result;
}

} // namespace rhubarblane
