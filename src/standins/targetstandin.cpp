#include "standins/targetstandin.h"

#include "standins/options.h"
#include "wire/ippacket.h"

#include <boost/asio/signal_set.hpp>
#include <cpprest/json.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr int TickMs = 10;
constexpr double ColdSpeed = 0.25;
// Sessions without a packet from the caller for this long are removed.
constexpr Milliseconds SessionRetention(120000);

} // namespace

TargetStandin::TargetStandin(boost::asio::io_context &context, const TargetStandinSettings &settings)
    : settings_(settings)
    , started_(clock_.now())
    , context_(context)
    , random_(settings.seed)
    , counted_(started_)
    , nextData_(started_)
    , timer_(context)
    , port_(context, settings.listen, [this](const PeerAddress &from, std::string_view datagram) {
        receive(from, datagram);
    })
{
    if (!settings_.log.empty()) {
        log_.open(settings_.log, std::ios::app);
    }
    tick();
}

std::string TargetStandin::stats()
{
    countBusyTime();
    web::json::value json = web::json::value::object();
    json["name"] = web::json::value(settings_.name);
    json["service"] = web::json::value(settings_.service);
    json["slots"] = web::json::value(settings_.slots);
    json["speed"] = web::json::value(settings_.speed);
    json["busyMs"] = web::json::value(busyMs_);
    json["streamMs"] = web::json::value(streamMs_);
    json["ran"] = web::json::value(ran_);
    json["shed"] = web::json::value(shed_);
    json["misrouted"] = web::json::value(misrouted_);
    json["openStreams"] = web::json::value(openStreams());
    json["waiting"] = web::json::value(static_cast<std::uint64_t>(waiting_.size()));
    return json.serialize();
}

void TargetStandin::receive(const PeerAddress &from, std::string_view datagram)
{
    if (datagram == "stats\n") {
        port_.send(from, stats() + "\n");
        return;
    }
    Session &session = sessions_[from];
    session.lastReceived = clock_.now();
    if (settings_.encapsulatedTcp) {
        receiveSegment(from, session, datagram);
    } else if (const std::optional<StandinMessage> message = parseStandinMessage(datagram)) {
        handle(from, session, *message);
    }
}

void TargetStandin::receiveSegment(const PeerAddress &from, Session &session, std::string_view packet)
{
    const auto parsed = parsePacket(packet);
    const PacketInfo *info = std::get_if<PacketInfo>(&parsed);
    if (info == nullptr) {
        return;
    }
    // The agent may reuse the port of an ended flow for the socket of a new one.
    const bool otherFlow = session.tcp && info->syn && !(info->flow == session.tcpFlow);
    if (!session.tcp || otherFlow) {
        startConnection(from, session, info->flow);
    }
    session.tcp->handlePacket(session.lastReceived, packet);
    for (std::size_t end = session.unread.find('\n'); end != std::string::npos; end = session.unread.find('\n')) {
        const std::optional<StandinMessage> message = parseStandinMessage(session.unread.substr(0, end));
        session.unread.erase(0, end + 1);
        if (message) {
            handle(from, session, *message);
        }
    }
}

void TargetStandin::startConnection(const PeerAddress &from, Session &session, const FlowTuple &flow)
{
    const Timestamp receivedAt = session.lastReceived;
    session = Session();
    session.lastReceived = receivedAt;
    session.connection = ++connectionCount_;
    session.tcpFlow = flow;
    session.tcp = std::make_unique<TcpEndpoint>(
        flow.serviceAddress,
        flow.servicePort,
        flow.callerAddress,
        flow.callerPort,
        static_cast<std::uint32_t>(random_()),
        [this, from](const std::string &out) { port_.send(from, out); },
        [&session](std::string_view bytes) { session.unread.append(bytes); });
}

void TargetStandin::handle(const PeerAddress &from, Session &session, const StandinMessage &message)
{
    if (message.verb == "health") {
        const auto load = static_cast<std::int64_t>(waiting_.size()) + busy_;
        reply(from, message, "health", settings_.lieAboutHealth ? 0 : load);
        return;
    }
    if (message.service != settings_.service) {
        ++misrouted_;
        record("misrouted", message.id);
        reply(from, message, "wrong", 0);
        return;
    }
    if (message.verb == "request" || message.verb == "book") {
        handleJob(from, session, message);
    } else if (message.verb == "chunk") {
        handleChunk(from, session, message);
    } else {
        handleStream(from, session, message);
    }
}

void TargetStandin::handleJob(const PeerAddress &from, Session &session, const StandinMessage &message)
{
    // A caller repeats a request until it is answered. Like a real target, the stand-in ignores the duplicates.
    if (!session.seen.insert(message.id).second) {
        return;
    }
    if (settings_.shedShare > 0 && std::uniform_real_distribution<>(0, 1)(random_) < settings_.shedShare) {
        ++shed_;
        reply(from, message, "busy", 0);
        return;
    }
    waiting_.push_back({from, session.connection, message});
    startJobs();
}

void TargetStandin::handleChunk(const PeerAddress &from, Session &session, const StandinMessage &message)
{
    if (message.number == 0 && session.upload != message.id) {
        session.upload = message.id;
        session.nextChunk = 0;
    }
    if (session.upload != message.id || message.number > session.nextChunk) {
        reply(from, message, "reset", message.number);
        return;
    }
    if (message.number == session.nextChunk) {
        ++session.nextChunk;
        if (message.number == message.last) {
            ++ran_;
            record("ran", message.id);
        }
    }
    reply(from, message, "got", message.number);
}

void TargetStandin::handleStream(const PeerAddress &from, Session &session, const StandinMessage &message)
{
    countBusyTime();
    if (message.verb == "stream" && session.stream != message.id) {
        session.stream = message.id;
        session.nextData = 0;
    } else if (message.verb == "end") {
        session.stream.clear();
    } else if (message.verb == "alive" && session.stream != message.id) {
        reply(from, message, "reset", 0);
    }
}

void TargetStandin::startJobs()
{
    while (busy_ < settings_.slots && !waiting_.empty()) {
        countBusyTime();
        const Job job = std::move(waiting_.front());
        waiting_.pop_front();
        ++busy_;
        ++ran_;
        record("ran", job.message.id);
        const bool cold = clock_.now() - started_ < Milliseconds(settings_.coldMs);
        const double speed = settings_.speed * (cold ? ColdSpeed : 1);
        const auto work = std::chrono::duration<double, std::milli>(static_cast<double>(job.message.number) / speed);
        auto timer = std::make_shared<boost::asio::steady_timer>(
            context_, std::chrono::duration_cast<std::chrono::microseconds>(work));
        timer->async_wait([this, timer, job](const boost::system::error_code &error) {
            if (!error) {
                finishJob(job);
            }
        });
    }
}

void TargetStandin::finishJob(const Job &job)
{
    countBusyTime();
    --busy_;
    const auto session = sessions_.find(job.peer);
    if (session == sessions_.end() || session->second.connection == job.connection) {
        reply(job.peer, job.message, job.message.verb == "book" ? "booked" : "answer", 0);
    }
    startJobs();
}

void TargetStandin::reply(const PeerAddress &to,
                          const StandinMessage &request,
                          const std::string &verb,
                          std::int64_t number)
{
    const std::string line = formatStandinMessage({verb, settings_.service, request.id, number, 0});
    const auto session = sessions_.find(to);
    if (session != sessions_.end() && session->second.tcp) {
        session->second.tcp->write(clock_.now(), line);
    } else {
        port_.send(to, line);
    }
}

void TargetStandin::tick()
{
    const Timestamp now = clock_.now();
    if (now >= nextData_) {
        nextData_ = now + Milliseconds(settings_.streamIntervalMs);
        sendStreamData();
    }
    for (auto position = sessions_.begin(); position != sessions_.end();) {
        if (position->second.tcp) {
            position->second.tcp->tick(now);
        }
        const bool expired = now - position->second.lastReceived >= SessionRetention;
        position = expired ? sessions_.erase(position) : std::next(position);
    }
    timer_.expires_after(std::chrono::milliseconds(TickMs));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void TargetStandin::sendStreamData()
{
    for (auto &[peer, session] : sessions_) {
        if (!session.stream.empty()) {
            reply(peer, {"stream", settings_.service, session.stream, 0, 0}, "data", session.nextData++);
        }
    }
}

void TargetStandin::countBusyTime()
{
    const Timestamp now = clock_.now();
    const std::int64_t passed = (now - counted_).count();
    busyMs_ += busy_ * passed;
    streamMs_ += openStreams() * passed;
    counted_ = now;
}

void TargetStandin::record(const std::string &verb, const std::string &id)
{
    if (log_.is_open()) {
        log_ << verb << " " << id << std::endl;
    }
}

std::int64_t TargetStandin::openStreams() const
{
    return std::count_if(
        sessions_.begin(), sessions_.end(), [](const auto &entry) { return !entry.second.stream.empty(); });
}

int runTargetStandin(const std::vector<std::string> &arguments)
{
    const Options options("target",
                          arguments,
                          {{"name", "target", "name in statistics"},
                           {"service", "", "service that this target serves"},
                           {"listen", "127.0.0.1:9000", "UDP address"},
                           {"encapsulated-tcp", "0", "1: datagrams carry IP packets of TCP connections"},
                           {"slots", "1", "requests served at once"},
                           {"speed", "1", "service rate"},
                           {"shed-share", "0", "share of the requests that are shed"},
                           {"cold-ms", "0", "time in ms after the start at a quarter of the speed"},
                           {"lie-about-health", "0", "1: always report no load"},
                           {"stream-interval-ms", "100", "time in ms between two data messages of a stream"},
                           {"seed", "1", "seed of the random generator"},
                           {"log", "", "file to append a line to for each request that ran or was misrouted"}});
    TargetStandinSettings settings;
    settings.name = options.text("name");
    settings.service = options.text("service");
    settings.listen = options.address("listen");
    settings.encapsulatedTcp = options.integer("encapsulated-tcp") != 0;
    settings.slots = options.integer("slots");
    settings.speed = options.number("speed");
    settings.shedShare = options.number("shed-share");
    settings.coldMs = options.integer("cold-ms");
    settings.lieAboutHealth = options.integer("lie-about-health") != 0;
    settings.streamIntervalMs = options.integer("stream-interval-ms");
    settings.seed = static_cast<std::uint64_t>(options.integer("seed"));
    settings.log = options.text("log");
    boost::asio::io_context context;
    TargetStandin target(context, settings);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    std::cout << "ready" << std::endl;
    context.run();
    std::cout << target.stats() << std::endl;
    return 0;
}

} // namespace rhubarblane
