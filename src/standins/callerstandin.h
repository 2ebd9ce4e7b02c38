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

/** The kind of flow that a caller stand-in opens. */
enum class CallerKind {
    Request,
    Booking,
    Stream,
    Upload,
};

/** The load that a caller stand-in generates. */
struct CallerStandinSettings {
    /** Prefix of all flow ids, unique among the callers of a run. */
    std::string name;
    /** The fabric's address for callers. */
    PeerAddress fabric;
    /** IPv4 address of the callers. */
    std::uint32_t address = 0;
    std::string service;
    PeerAddress serviceAddress;
    CallerKind kind = CallerKind::Request;
    bool tcp = false;
    /** Number of concurrent streams or uploads. */
    std::int64_t flows = 1;
    /** New requests or bookings per second. */
    double rate = 10;
    /** Mean work of a request in ms. The work is distributed exponentially. */
    double workMs = 20;
    /** Number of chunks in an upload. */
    std::int64_t chunks = 20;
    std::int64_t chunkIntervalMs = 50;
    /** Time during which flows are opened. */
    std::int64_t durationMs = 10000;
    /** Time without an answer after which a flow has failed. */
    std::int64_t timeoutMs = 5000;
    std::uint64_t seed = 1;
    /** File to which a line such as "refused ID ..." is appended for each flow not completed; none if empty. */
    std::string log;
};

/** Outcomes of the flows and errors that the callers detected. */
struct CallerCounters {
    std::uint64_t flows = 0;
    std::uint64_t completed = 0;
    /** Flows that were answered at least once and ended before they were complete. */
    std::uint64_t broken = 0;
    /** Answers from another service, and requests that a target of another service received. */
    std::uint64_t misrouted = 0;
    /** Answers to a request of another flow, or from another address than that of the service. */
    std::uint64_t crossed = 0;
    /** Flows refused with the outcome "not run". */
    std::uint64_t refused = 0;
    /** Flows that ended with the outcome "unknown". */
    std::uint64_t unknown = 0;
    /** Flows without any answer before the time-out. */
    std::uint64_t unanswered = 0;
    /** Requests that a target shed. */
    std::uint64_t busy = 0;
    /** Data messages of streams that were lost. */
    std::uint64_t gaps = 0;
    /** Data messages or acknowledgements of chunks that arrived again. */
    std::uint64_t duplicates = 0;
};

/** Simulates callers: opens flows through the fabric and checks every answer. */
class CallerStandin
{
public:
    using Done = std::function<void()>;

    /** Calls `done` when the duration has passed and the last flow has ended. */
    CallerStandin(boost::asio::io_context &context, const CallerStandinSettings &settings, Done done);

    const CallerCounters &counters() const
    {
        return counters_;
    }

    /** Returns counters and response times as a JSON object. */
    std::string summary() const;

private:
    struct Flow {
        /** Empty once the flow has ended. */
        std::string id;
        std::uint16_t port = 0;
        std::unique_ptr<TcpEndpoint> tcp;
        /** Received bytes that are not parsed yet. */
        std::string unread;
        StandinMessage opening;
        Timestamp opened;
        Timestamp lastSent;
        Timestamp lastAnswer;
        Timestamp ended;
        bool answered = false;
        /** Next sequence number of a stream's data or of an upload's chunk. */
        std::int64_t next = 0;
        /** Time at which the next chunk is sent. */
        Timestamp chunkDue;
        /** True while a chunk has been sent and is not acknowledged yet. */
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

/** Runs `rhubarblane_standin callers` and returns its exit code. */
int runCallerStandin(const std::vector<std::string> &arguments);

} // namespace rhubarblane

#endif
