#ifndef RHUBARBLANE_TESTS_LOADEDTARGET_H
#define RHUBARBLANE_TESTS_LOADEDTARGET_H

#include "relay/relaytypes.h"
#include "relay/requestgate.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace rhubarblane
{

enum class Kind { Urgent, Stream, Bunch };

struct KindOutcome {
    int sent = 0;
    int inTime = 0; ///< Ended within the objective.
    int started = 0;

    double shareInTime() const
    {
        return static_cast<double>(inTime) / sent;
    }
    double share() const
    {
        return static_cast<double>(started) / sent;
    }
};

constexpr std::int64_t ServiceTimeMs = 20;
constexpr std::uint32_t Slots = 2;
constexpr std::uint32_t StreamCallers = 20;
constexpr std::uint32_t BunchCaller = 1000;
constexpr int BunchSize = 10;
constexpr Milliseconds Objective(200);
constexpr Milliseconds HoldTime(90);
constexpr std::array RepeatIntervals {Milliseconds(200), Milliseconds(400), Milliseconds(800)};

struct TestRequest {
    Kind kind = Kind::Urgent;
    std::uint32_t caller = 0;
    Timestamp sent;
    std::size_t repeats = 0;
    Timestamp arrived; ///< At the target.
};

/**
 * Three kinds of request at a target of two slots, in steps of 1 ms: urgent ones (40% of the requests), those of 20
 * less urgent callers at random times (40%), and those of one less urgent caller in bunches of ten (20%). Callers send
 * dropped and refused requests again.
 */
struct LoadedTarget {
    void run(double load)
    {
        const double rate = load * Slots / ServiceTimeMs;
        std::uniform_real_distribution<double> draw(0.0, 1.0);
        for (now = Timestamp(1); now < end; now = now + Milliseconds(1)) {
            endRequests();
            if (draw(random) < rate * 0.4) {
                sendNew(Kind::Urgent, 0);
            }
            if (draw(random) < rate * 0.4) {
                sendNew(Kind::Stream, 1 + static_cast<std::uint32_t>(draw(random) * StreamCallers));
            }
            if (draw(random) < rate * 0.2 / BunchSize) {
                for (int i = 0; i < BunchSize; ++i) {
                    sendNew(Kind::Bunch, BunchCaller);
                }
            }
            for (; !repeated.empty() && repeated.begin()->first <= now; repeated.erase(repeated.begin())) {
                send(repeated.begin()->second);
            }
            while (const std::optional<HeldRequest> next = gate.takeNext(room())) {
                start(takeHeld(*next));
            }
            for (const HeldRequest &expired : gate.takeExpired(now)) {
                BOOST_REQUIRE((now - expired.since <= HoldTime * 2));
                sendAgain(takeHeld(expired));
            }
            mostHeld = std::max(mostHeld, gate.size());
        }
    }

    void sendNew(Kind kind, std::uint32_t caller)
    {
        ++outcomes[kind].sent;
        send({kind, caller, now, 0, Timestamp()});
    }

    void send(const TestRequest &request)
    {
        if (request.kind == Kind::Urgent) {
            if (waiting.size() >= QueueLimit) {
                sendAgain(request);
                return;
            }
            gate.noteUrgentStart();
            start(request);
            return;
        }
        if (gate.admits(room())) {
            start(request);
            return;
        }
        FlowTuple flow;
        flow.callerAddress = request.caller;
        flow.callerPort = ++lastPort;
        held[flow.callerPort] = request;
        for (const HeldRequest &dropped :
             gate.hold(now, flow, HoldTime, request.repeats > 0, {"request", PeerAddress(), 0, 1})) {
            sendAgain(takeHeld(dropped));
        }
    }

    void sendAgain(TestRequest request)
    {
        if (request.repeats < RepeatIntervals.size()) {
            const Timestamp at = now + RepeatIntervals[request.repeats++];
            repeated.emplace(at, request);
        }
    }

    TestRequest takeHeld(const HeldRequest &request)
    {
        const auto found = held.find(request.flow.callerPort);
        const TestRequest result = found->second;
        held.erase(found);
        return result;
    }

    void start(const TestRequest &request)
    {
        waiting.push_back(request);
        waiting.back().arrived = now;
        fillSlots();
    }

    void endRequests()
    {
        inSlots.erase(std::remove_if(inSlots.begin(), inSlots.end(), [this](Timestamp time) { return time <= now; }),
                      inSlots.end());
        fillSlots();
    }

    void fillSlots()
    {
        while (inSlots.size() < Slots && !waiting.empty()) {
            const TestRequest request = waiting.front();
            waiting.pop_front();
            inSlots.push_back(now + Milliseconds(ServiceTimeMs));
            if (request.kind == Kind::Urgent) {
                longestUrgentWaitMs = std::max(longestUrgentWaitMs, (now - request.arrived).count());
            }
            KindOutcome &outcome = outcomes[request.kind];
            ++outcome.started;
            outcome.inTime += inSlots.back() - request.sent <= Objective ? 1 : 0;
        }
    }

    TargetRoom room() const
    {
        return {Slots, static_cast<std::uint32_t>(inSlots.size() + waiting.size()), 0};
    }

    double startedOfCapacity()
    {
        const int started =
            outcomes[Kind::Urgent].started + outcomes[Kind::Stream].started + outcomes[Kind::Bunch].started;
        return started * static_cast<double>(ServiceTimeMs) / Slots / static_cast<double>(end.milliseconds());
    }

    Timestamp now;
    Timestamp end {60000};
    RequestGate gate;
    std::map<Kind, KindOutcome> outcomes;
    std::size_t mostHeld = 0;
    std::int64_t longestUrgentWaitMs = 0;
    std::mt19937_64 random {7};
    std::deque<TestRequest> waiting;
    std::vector<Timestamp> inSlots;
    std::map<std::uint16_t, TestRequest> held;
    std::multimap<Timestamp, TestRequest> repeated;
    std::uint16_t lastPort = 0;
};

} // namespace rhubarblane

#endif
