#include "standins/callerstandin.h"

#include "wire/ippacket.h"

#include <cpprest/json.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr int TickMs = 5;
constexpr std::uint16_t FirstPort = 1024;
constexpr Milliseconds RepeatOpening(500);
constexpr Milliseconds AliveInterval(500);
// Limits the rate at which refused long-lived flows are reopened.
constexpr Milliseconds ReopenInterval(20);
constexpr Milliseconds CloseTime(3000);
constexpr int NotRunCode = 13;

struct CounterName {
    const char *name;
    std::uint64_t CallerCounters::*count;
};

constexpr std::array<CounterName, 11> CounterNames {{
    {"flows", &CallerCounters::flows},
    {"completed", &CallerCounters::completed},
    {"broken", &CallerCounters::broken},
    {"misrouted", &CallerCounters::misrouted},
    {"crossed", &CallerCounters::crossed},
    {"refused", &CallerCounters::refused},
    {"unknown", &CallerCounters::unknown},
    {"unanswered", &CallerCounters::unanswered},
    {"busy", &CallerCounters::busy},
    {"gaps", &CallerCounters::gaps},
    {"duplicates", &CallerCounters::duplicates},
}};

constexpr std::array<const char *, 4> OpeningVerbs {"request", "book", "stream", "chunk"};

std::int64_t quantile(std::vector<std::int64_t> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

CallerStandin::CallerStandin(boost::asio::io_context &context, const CallerStandinSettings &settings, Done done)
    : settings_(settings)
    , started_(clock_.now())
    , done_(std::move(done))
    , random_(settings.seed)
    , nextPort_(static_cast<std::uint16_t>(FirstPort + random_() % (65536 - FirstPort)))
    , timer_(context)
    , port_(context, PeerAddress {}, [this](const PeerAddress &, std::string_view packet) { receive(packet); })
{
    if (!settings_.log.empty()) {
        log_.open(settings_.log, std::ios::app);
    }
    tick();
}

std::string CallerStandin::summary() const
{
    web::json::value json = web::json::value::object();
    json["name"] = web::json::value(settings_.name);
    json["service"] = web::json::value(settings_.service);
    json["kind"] = web::json::value(OpeningVerbs[static_cast<std::size_t>(settings_.kind)]);
    for (const CounterName &counter : CounterNames) {
        json[counter.name] = web::json::value(counters_.*counter.count);
    }
    json["p50Ms"] = web::json::value(quantile(responseMs_, 0.5));
    json["p99Ms"] = web::json::value(quantile(responseMs_, 0.99));
    return json.serialize();
}

void CallerStandin::tick()
{
    const Timestamp now = clock_.now();
    openDue(now);
    for (auto &[port, flow] : flows_) {
        tickFlow(now, flow);
    }
    for (const std::uint16_t port : std::exchange(ended_, {})) {
        flows_.erase(port);
    }
    if (isOver(now) && flows_.empty()) {
        done_();
        return;
    }
    timer_.expires_after(std::chrono::milliseconds(TickMs));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void CallerStandin::openDue(Timestamp now)
{
    if (isOver(now)) {
        return;
    }
    if (isLongLived()) {
        if (now >= nextReopen_ && flows_.size() < static_cast<std::size_t>(settings_.flows)) {
            nextReopen_ = now + ReopenInterval;
            openFlow(now);
        }
        return;
    }
    std::exponential_distribution<> gapSeconds(settings_.rate);
    while (nextArrivalMs_ <= static_cast<double>((now - started_).count())) {
        nextArrivalMs_ += gapSeconds(random_) * 1000;
        openFlow(now);
    }
}

void CallerStandin::openFlow(Timestamp now)
{
    while (flows_.count(nextPort_) != 0 || nextPort_ < FirstPort) {
        ++nextPort_;
    }
    Flow &flow = flows_[nextPort_];
    flow.port = nextPort_++;
    flow.id = settings_.name + "-" + std::to_string(nextId_++);
    flow.opened = now;
    flow.lastAnswer = now;
    flow.opening.verb = OpeningVerbs[static_cast<std::size_t>(settings_.kind)];
    flow.opening.service = settings_.service;
    flow.opening.id = flow.id;
    if (settings_.kind == CallerKind::Upload) {
        flow.opening.last = settings_.chunks - 1;
    } else if (!isLongLived()) {
        flow.opening.number = std::max<std::int64_t>(
            1, static_cast<std::int64_t>(std::exponential_distribution<>(1 / settings_.workMs)(random_)));
    }
    ++counters_.flows;
    if (settings_.tcp) {
        openTcp(now, flow);
    }
    send(now, flow, flow.opening);
}

void CallerStandin::openTcp(Timestamp now, Flow &flow)
{
    flow.tcp = std::make_unique<TcpEndpoint>(
        settings_.address,
        flow.port,
        settings_.serviceAddress.address,
        settings_.serviceAddress.port,
        static_cast<std::uint32_t>(random_()),
        [this](const std::string &packet) { port_.send(settings_.fabric, packet); },
        [&flow](std::string_view bytes) { flow.unread.append(bytes); });
    flow.tcp->open(now);
}

void CallerStandin::tickFlow(Timestamp now, Flow &flow)
{
    if (flow.tcp) {
        flow.tcp->tick(now);
    }
    if (flow.id.empty()) {
        tickClosing(now, flow);
        return;
    }
    const Milliseconds timeout(settings_.timeoutMs);
    if (now - flow.lastAnswer >= timeout) {
        end(flow, flow.answered ? &CallerCounters::broken : &CallerCounters::unanswered, "timeout");
        return;
    }
    // TCP retransmits lost segments. A booking is never sent twice because the target may already have run it.
    const bool repeats = !flow.tcp && settings_.kind != CallerKind::Booking;
    if (!flow.answered && repeats && now - flow.lastSent >= RepeatOpening) {
        send(now, flow, flow.opening);
        return;
    }
    if (settings_.kind == CallerKind::Stream) {
        tickStream(now, flow);
    } else if (settings_.kind == CallerKind::Upload) {
        tickUpload(now, flow);
    }
}

void CallerStandin::tickClosing(Timestamp now, const Flow &flow)
{
    // Keeps the port reserved until TCP has closed, so that late segments do not reach the next flow on it.
    const bool closing = flow.tcp && flow.tcp->state() != TcpEndpoint::State::Finished
        && flow.tcp->state() != TcpEndpoint::State::Reset && now - flow.ended < CloseTime;
    if (!closing) {
        ended_.push_back(flow.port);
    }
}

void CallerStandin::tickStream(Timestamp now, Flow &flow)
{
    if (!flow.answered) {
        return;
    }
    if (isOver(now)) {
        send(now, flow, {"end", settings_.service, flow.id, 0, 0});
        complete(now, flow);
    } else if (now - flow.lastSent >= AliveInterval) {
        send(now, flow, {"alive", settings_.service, flow.id, 0, 0});
    }
}

void CallerStandin::tickUpload(Timestamp now, Flow &flow)
{
    const bool first = !flow.chunkSent && now >= flow.chunkDue;
    const bool again = flow.chunkSent && !flow.tcp && now - flow.lastSent >= RepeatOpening;
    if (first || again) {
        flow.chunkSent = true;
        send(now, flow, {"chunk", settings_.service, flow.id, flow.next, settings_.chunks - 1});
    }
}

void CallerStandin::send(Timestamp now, Flow &flow, const StandinMessage &message)
{
    flow.lastSent = now;
    const std::string line = formatStandinMessage(message);
    if (flow.tcp) {
        flow.tcp->write(now, line);
        return;
    }
    FlowTuple tuple;
    tuple.callerAddress = settings_.address;
    tuple.callerPort = flow.port;
    tuple.serviceAddress = settings_.serviceAddress.address;
    tuple.servicePort = settings_.serviceAddress.port;
    port_.send(settings_.fabric, buildUdpRequest(tuple, line));
}

void CallerStandin::receive(std::string_view packet)
{
    const std::optional<AnswerPacket> answer = parseAnswerPacket(packet);
    if (!answer) {
        return;
    }
    const auto found = flows_.find(answer->callerPort);
    if (found == flows_.end()) {
        return;
    }
    Flow &flow = found->second;
    const Timestamp now = clock_.now();
    if (flow.id.empty()) {
        if (flow.tcp) {
            flow.tcp->handlePacket(now, packet);
        }
        return;
    }
    if (answer->serviceAddress != settings_.serviceAddress.address
        || answer->servicePort != settings_.serviceAddress.port) {
        ++counters_.crossed;
        return;
    }
    if (answer->kind == AnswerPacket::Kind::Unreachable) {
        handleUnreachable(flow, answer->code);
        return;
    }
    if (flow.tcp) {
        flow.tcp->handlePacket(now, packet);
        if (flow.tcp->state() == TcpEndpoint::State::Reset) {
            handleReset(flow);
            return;
        }
    } else {
        flow.unread = answer->payload;
    }
    while (!flow.id.empty() && flow.unread.find('\n') != std::string::npos) {
        const std::size_t end = flow.unread.find('\n');
        const std::optional<StandinMessage> message = parseStandinMessage(flow.unread.substr(0, end));
        flow.unread.erase(0, end + 1);
        if (message) {
            handleAnswer(now, flow, *message);
        }
    }
}

void CallerStandin::handleUnreachable(Flow &flow, int code)
{
    if (flow.answered) {
        end(flow, &CallerCounters::broken, "icmp" + std::to_string(code));
    } else if (code == NotRunCode) {
        end(flow, &CallerCounters::refused, "icmp13");
    } else {
        end(flow, &CallerCounters::unknown, "icmp" + std::to_string(code));
    }
}

void CallerStandin::handleReset(Flow &flow)
{
    // A reset in reply to the SYN means "not run". After a later reset the outcome of the request is unknown.
    handleUnreachable(flow, flow.tcp->wasEstablished() ? 1 : NotRunCode);
}

void CallerStandin::handleAnswer(Timestamp now, Flow &flow, const StandinMessage &message)
{
    if (message.service != settings_.service || message.verb == "wrong") {
        ++counters_.misrouted;
        return;
    }
    if (message.id != flow.id) {
        ++counters_.crossed;
        return;
    }
    flow.answered = true;
    flow.lastAnswer = now;
    if (message.verb == "busy") {
        end(flow, &CallerCounters::busy, "busy");
    } else if (message.verb == "reset") {
        end(flow, &CallerCounters::broken, "reset");
    } else if (message.verb == "data") {
        handleData(flow, message);
    } else if (message.verb == "got") {
        handleGot(now, flow, message);
    } else {
        complete(now, flow);
    }
}

void CallerStandin::handleData(Flow &flow, const StandinMessage &message)
{
    if (message.number < flow.next) {
        ++counters_.duplicates;
        return;
    }
    counters_.gaps += static_cast<std::uint64_t>(message.number - flow.next);
    flow.next = message.number + 1;
}

void CallerStandin::handleGot(Timestamp now, Flow &flow, const StandinMessage &message)
{
    if (message.number != flow.next) {
        ++counters_.duplicates;
        return;
    }
    ++flow.next;
    if (flow.next == settings_.chunks) {
        complete(now, flow);
        return;
    }
    flow.chunkSent = false;
    flow.chunkDue = now + Milliseconds(settings_.chunkIntervalMs);
}

void CallerStandin::complete(Timestamp now, Flow &flow)
{
    responseMs_.push_back((now - flow.opened).count());
    end(flow, &CallerCounters::completed, "answered");
}

void CallerStandin::end(Flow &flow, std::uint64_t CallerCounters::*outcome, const std::string &reason)
{
    ++(counters_.*outcome);
    if (log_.is_open() && outcome != &CallerCounters::completed) {
        const auto name = std::find_if(CounterNames.begin(), CounterNames.end(), [outcome](const CounterName &entry) {
            return entry.count == outcome;
        });
        log_ << name->name << " " << flow.id << " port=" << flow.port << " reason=" << reason
             << " afterMs=" << (clock_.now() - flow.opened).count() << std::endl;
    }
    // A flow without an id ignores further answers. It is erased on a later tick.
    flow.id.clear();
    flow.ended = clock_.now();
    if (flow.tcp) {
        flow.tcp->close(flow.ended);
    }
}

bool CallerStandin::isLongLived() const
{
    return settings_.kind == CallerKind::Stream || settings_.kind == CallerKind::Upload;
}

bool CallerStandin::isOver(Timestamp now) const
{
    return (now - started_).count() >= settings_.durationMs;
}

} // namespace rhubarblane
