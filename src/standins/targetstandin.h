#ifndef RHUBARBLANE_STANDINS_TARGETSTANDIN_H
#define RHUBARBLANE_STANDINS_TARGETSTANDIN_H

#include "base/clock.h"
#include "standins/datagramport.h"
#include "standins/standinmessage.h"
#include "standins/tcpendpoint.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace rhubarblane
{

/** Capacity, speed and faults of a target stand-in. */
struct TargetStandinSettings {
    std::string name;
    std::string service;
    PeerAddress listen;
    /** True if datagrams carry IP packets of TCP connections. */
    bool encapsulatedTcp = false;
    /** Number of requests served at once. */
    std::int64_t slots = 1;
    /** Relative service rate: at 2 a request takes half as long as at 1. */
    double speed = 1;
    /** Share of the requests that are shed. */
    double shedShare = 0;
    /** Time after the start during which the target works at a quarter of its speed. */
    std::int64_t coldMs = 0;
    /** True if the target always reports no load in its health. */
    bool lieAboutHealth = false;
    std::int64_t streamIntervalMs = 100;
    std::uint64_t seed = 1;
    /** File to which "ran ID" and "misrouted ID" lines are appended; none if empty. */
    std::string log;
};

/** Simulates a target: serves requests and bookings with a number of slots, and streams and uploads. */
class TargetStandin
{
public:
    TargetStandin(boost::asio::io_context &context, const TargetStandinSettings &settings);

    PeerAddress localAddress() const
    {
        return port_.localAddress();
    }

    /** Returns the counters as a JSON object. */
    std::string stats();

private:
    /** State of a peer socket, that is, of one flow. */
    struct Session {
        std::unique_ptr<TcpEndpoint> tcp;
        FlowTuple tcpFlow;
        /** Number of the TCP connection. Answers to requests of an earlier connection are not sent. */
        std::uint64_t connection = 0;
        /** Received bytes that are not parsed yet. */
        std::string unread;
        /** Ids of the requests received. */
        std::set<std::string> seen;
        /** Id of the open stream; empty if there is none. */
        std::string stream;
        std::int64_t nextData = 0;
        /** Id of the current upload. */
        std::string upload;
        std::int64_t nextChunk = 0;
        Timestamp lastReceived;
    };

    struct Job {
        PeerAddress peer;
        std::uint64_t connection = 0;
        StandinMessage message;
    };

    void receive(const PeerAddress &from, std::string_view datagram);
    void receiveSegment(const PeerAddress &from, Session &session, std::string_view packet);
    void startConnection(const PeerAddress &from, Session &session, const FlowTuple &flow);
    void handle(const PeerAddress &from, Session &session, const StandinMessage &message);
    void handleJob(const PeerAddress &from, Session &session, const StandinMessage &message);
    void handleChunk(const PeerAddress &from, Session &session, const StandinMessage &message);
    void handleStream(const PeerAddress &from, Session &session, const StandinMessage &message);
    void startJobs();
    void finishJob(const Job &job);
    void reply(const PeerAddress &to, const StandinMessage &request, const std::string &verb, std::int64_t number);
    void tick();
    void sendStreamData();
    void countBusyTime();
    void record(const std::string &verb, const std::string &id);
    std::int64_t openStreams() const;

    TargetStandinSettings settings_;
    SystemClock clock_;
    Timestamp started_;
    boost::asio::io_context &context_;
    std::mt19937_64 random_;
    std::map<PeerAddress, Session> sessions_;
    std::uint64_t connectionCount_ = 0;
    std::deque<Job> waiting_;
    std::int64_t busy_ = 0;
    std::int64_t busyMs_ = 0;
    std::int64_t streamMs_ = 0;
    Timestamp counted_;
    Timestamp nextData_;
    std::uint64_t ran_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t misrouted_ = 0;
    std::ofstream log_;
    boost::asio::steady_timer timer_;
    DatagramPort port_;
};

/** Runs `rhubarblane_standin target` and returns its exit code. */
int runTargetStandin(const std::vector<std::string> &arguments);

} // namespace rhubarblane

#endif
