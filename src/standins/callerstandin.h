#ifndef RHUBARBLANE_STANDINS_CALLERSTANDIN_H
#define RHUBARBLANE_STANDINS_CALLERSTANDIN_H

#include "base/clock.h"
#include "standins/answerpacket.h"
#include "standins/datagramport.h"
#include "standins/standinmessage.h"
#include "standins/tcpendpoint.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rhubarblane
{

enum class CallerKind {
    Request,
    Booking,
    Stream,
    Upload,
};

/** The load that a caller stand-in offers. */
struct CallerStandinSettings {
    /** Prefix of all ids; unique among the callers of a run. */
    std::string name;
    PeerAddress fabric;
    std::uint32_t address = 0;
    std::string service;
    PeerAddress serviceAddress;
    CallerKind kind = CallerKind::Request;
    bool tcp = false;
    /** Streams or uploads open at once. */
    std::int64_t flows = 1;
    /** New requests or bookings a second. */
    double rate = 10;
    /** Mean work of a request; each draws from an exponential distribution. */
    double workMs = 20;
    std::int64_t chunks = 20;
    std::int64_t chunkIntervalMs = 50;
    std::int64_t durationMs = 10000;
    std::int64_t timeoutMs = 5000;
    std::uint64_t seed = 1;
    /** File that gets a line for each flow that was not completed, as "refused ID ..."; none if empty. */
    std::string log;
};

/** What the callers saw. */
struct CallerCounters {
    std::uint64_t flows = 0;
    std::uint64_t completed = 0;
    /** Flows that were open and ended before they were complete. */
    std::uint64_t broken = 0;
    /** Answers of another service. */
    std::uint64_t misrouted = 0;
    /** Answers to another request than the flow's own. */
    std::uint64_t crossed = 0;
    /** Told "not run". */
    std::uint64_t refused = 0;
    /** Told "unknown". */
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0;
    /** The target itself shed the request. */
    std::uint64_t busy = 0;
    std::uint64_t gaps = 0;
    std::uint64_t duplicates = 0;
};

/** Stands in for callers: opens flows through the fabric and checks every answer. */
class CallerStandin
{
public:
    using Done = std::function<void()>;

    /** `done` is called when the duration has passed and the last flow has ended. */
    CallerStandin(boost::asio::io_context &context, const CallerStandinSettings &settings, Done done);

    const CallerCounters &counters() const
    {
        return counters_;
    }

    /** Counters and response times as a JSON object. */
    std::string summary() const;

private:
    struct Flow {
        std::string id;
        std::uint16_t port = 0;
        std::unique_ptr<TcpEndpoint> tcp;
        std::string unread;
        StandinMessage opening;
        Timestamp opened;
        Timestamp lastSent;
        Timestamp lastAnswer;
        Timestamp ended;
        bool answered = false;
        /** Next sequence number of a stream's data or of an upload's chunk. */
        std::int64_t next = 0;
        Timestamp chunkDue;
        bool chunkSent = true;
    };

    using FlowMap = std::map<std::uint16_t, Flow>;

    void tick();
    void openDue(Timestamp now);
    void openFlow(Timestamp now);
    void openTcp(Timestamp now, Flow &flow);
    void tickFlow(Timestamp now, Flow &flow);
    void tickClosing(Timestamp now, const Flow &flow);
    void tickStream(Timestamp now, Flow &flow);
    void tickUpload(Timestamp now, Flow &flow);
    void send(Timestamp now, Flow &flow, const StandinMessage &message);
    void receive(std::string_view packet);
    void handleUnreachable(Flow &flow, int code);
    void handleReset(Flow &flow);
    void handleAnswer(Timestamp now, Flow &flow, const StandinMessage &message);
    void handleData(Flow &flow, const StandinMessage &message);
    void handleGot(Timestamp now, Flow &flow, const StandinMessage &message);
    void complete(Timestamp now, Flow &flow);
    void end(Flow &flow, std::uint64_t CallerCounters::*outcome, const std::string &reason);
    bool isLongLived() const;
    bool isOver(Timestamp now) const;

    CallerStandinSettings settings_;
    SystemClock clock_;
    Timestamp started_;
    Done done_;
    std::mt19937_64 random_;
    FlowMap flows_;
    std::vector<std::uint16_t> ended_;
    std::uint16_t nextPort_ = 0;
    std::uint64_t nextId_ = 1;
    double nextArrivalMs_ = 0;
    Timestamp nextReopen_;
    CallerCounters counters_;
    std::vector<std::int64_t> responseMs_;
    std::ofstream log_;
    boost::asio::steady_timer timer_;
    DatagramPort port_;
};

/** The program `rhubarblane_standin callers`. */
int runCallerStandin(const std::vector<std::string> &arguments);

} // namespace rhubarblane

#endif
