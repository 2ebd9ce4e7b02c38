#include "standins/storestandin.h"

#include "store/etcdcodec.h"

#include <chrono>
#include <utility>

namespace rhubarblane
{

namespace
{

using web::http::http_request;
using web::http::status_codes;
using web::json::value;

constexpr int CodeInvalidArgument = 3;
constexpr int CodeNotFound = 5;
constexpr int CodeUnavailable = 14;
/** Interval at which leases are checked for expiry. */
constexpr std::chrono::milliseconds TimerInterval(50);

value gatewayError(int code, const std::string &message)
{
    value body = value::object();
    body["error"] = value(message);
    body["code"] = value(code);
    body["message"] = value(message);
    return body;
}

value encodeKv(const StoredValue &stored)
{
    value kv = value::object();
    kv["key"] = value(encodeBytes(stored.key));
    kv["value"] = value(encodeBytes(stored.value));
    kv["mod_revision"] = encodeInteger(stored.modified.value());
    return kv;
}

value encodeEvent(const StoredChange &change)
{
    value event = value::object();
    if (!change.value) {
        event["type"] = value("DELETE");
    }
    event["kv"] = encodeKv({change.key, change.value.value_or(""), change.modified});
    return event;
}

/** Replies without throwing, because an exception that leaves a handler would end the process. */
void replyBadRequest(const http_request &request, const std::string &reason)
{
    try {
        request.reply(status_codes::BadRequest, gatewayError(CodeInvalidArgument, reason));
    } catch (const std::exception &) {
        // The request already has a response.
    }
}

StoreTransaction decodeTransaction(const value &body)
{
    StoreTransaction transaction;
    if (body.has_field("compare")) {
        for (const value &entry : body.at("compare").as_array()) {
            transaction.compares.push_back({decodeBytes(entry, "key"), Revision(decodeInteger(entry, "mod_revision"))});
        }
    }
    if (body.has_field("success")) {
        for (const value &entry : body.at("success").as_array()) {
            if (entry.has_field("request_put")) {
                const value &put = entry.at("request_put");
                transaction.writes.push_back(
                    {decodeBytes(put, "key"), decodeBytes(put, "value"), LeaseId(decodeInteger(put, "lease"))});
            } else {
                transaction.writes.push_back({decodeBytes(entry.at("request_delete_range"), "key"), std::nullopt, {}});
            }
        }
    }
    return transaction;
}

void send(concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer, const std::string &line)
{
    buffer.putn_nocopy(reinterpret_cast<const std::uint8_t *>(line.data()), line.size()).wait();
    // Without the flush the server waits until a chunk is full.
    buffer.sync().wait();
}

} // namespace

StoreStandin::~StoreStandin()
{
    stop();
}

std::optional<Error> StoreStandin::start(const std::string &address)
{
    std::optional<Error> error = http_.start(address, [this](const http_request &request) { handle(request); });
    if (!error) {
        stopping_ = false;
        timer_ = std::thread([this] { runTimer(); });
    }
    return error;
}

void StoreStandin::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        // The HTTP listener waits for requests that have no response yet.
        releaseHeld();
        for (Watcher &watcher : watchers_) {
            watcher.buffer.close(std::ios_base::out);
        }
        watchers_.clear();
    }
    wake_.notify_all();
    if (timer_.joinable()) {
        timer_.join();
    }
    http_.stop();
}

void StoreStandin::runTimer()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
        wake_.wait_for(lock, TimerInterval);
        const Revision before = table_.revision();
        table_.expireLeases(clock_.now());
        notifyWatchers(Revision(before.value() + 1));
    }
}

void StoreStandin::handle(const http_request &request)
{
    const std::string path = request.relative_uri().path();
    if (path == "/standin/counts") {
        const std::lock_guard<std::mutex> lock(mutex_);
        request.reply(status_codes::OK, counts());
        return;
    }
    request.extract_json(true).then([this, request, path](const pplx::task<value> &task) {
        try {
            handleBody(request, path, task.get());
        } catch (const std::exception &exception) {
            replyBadRequest(request, exception.what());
        }
    });
}

void StoreStandin::handleBody(const http_request &request, const std::string &path, const value &body)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (path == "/standin/faults") {
        setFaults(request, body);
        return;
    }
    ++counts_[path];
    if (delayMs_ > 0) {
        wake_.wait_for(lock, std::chrono::milliseconds(delayMs_), [this] { return stopping_; });
    }
    if (stopping_ || away_ == Away::Refuse) {
        request.reply(status_codes::ServiceUnavailable, gatewayError(CodeUnavailable, "the store is away"));
        return;
    }
    if (away_ == Away::Hang) {
        held_.push_back(request);
        return;
    }
    value answer = value::object();
    if (path == "/v3/kv/range") {
        const StoredRange range = table_.range(decodeBytes(body, "key"), decodeBytes(body, "range_end"));
        std::vector<value> kvs;
        for (const StoredValue &stored : range.values) {
            kvs.push_back(encodeKv(stored));
        }
        answer["header"] = header();
        answer["kvs"] = value::array(kvs);
        answer["count"] = encodeInteger(kvs.size());
    } else if (path == "/v3/kv/txn") {
        commit(request, body);
        return;
    } else if (path == "/v3/watch") {
        openWatch(request, body.at("create_request"));
        return;
    } else if (path == "/v3/lease/grant") {
        const Milliseconds duration(static_cast<std::int64_t>(decodeInteger(body, "TTL")) * 1000);
        answer["header"] = header();
        answer["ID"] = encodeInteger(table_.grantLease(clock_.now(), duration).value());
        answer["TTL"] = encodeInteger(decodeInteger(body, "TTL"));
    } else if (path == "/v3/lease/keepalive") {
        value result = value::object();
        result["header"] = header();
        result["ID"] = encodeInteger(decodeInteger(body, "ID"));
        if (table_.keepLeaseAlive(clock_.now(), LeaseId(decodeInteger(body, "ID")))) {
            result["TTL"] = encodeInteger(1);
        }
        answer["result"] = result;
    } else if (path == "/v3/lease/revoke") {
        const Revision before = table_.revision();
        table_.revokeLease(LeaseId(decodeInteger(body, "ID")));
        notifyWatchers(Revision(before.value() + 1));
        answer["header"] = header();
    } else {
        request.reply(status_codes::NotFound, gatewayError(CodeNotFound, "no such path"));
        return;
    }
    request.reply(status_codes::OK, answer);
}

void StoreStandin::commit(const http_request &request, const value &body)
{
    const Outcome<Revision> result = table_.commit(decodeTransaction(body));
    if (!isOk(result) && errorOf(result).code == ErrorCode::NotFound) {
        request.reply(status_codes::NotFound, gatewayError(CodeNotFound, errorOf(result).message));
        return;
    }
    value answer = value::object();
    answer["header"] = header();
    if (isOk(result)) {
        answer["succeeded"] = value(true);
        notifyWatchers(valueOf(result));
        if (loseAnswers_ > 0) {
            --loseAnswers_;
            held_.push_back(request);
            return;
        }
    }
    request.reply(status_codes::OK, answer);
}

void StoreStandin::openWatch(const http_request &request, const value &create)
{
    Watcher watcher;
    watcher.begin = decodeBytes(create, "key");
    watcher.end = decodeBytes(create, "range_end");
    const std::uint64_t start = decodeInteger(create, "start_revision");
    web::http::http_response response(status_codes::OK);
    response.set_body(watcher.buffer.create_istream(), "application/json");
    request.reply(response);

    value result = value::object();
    result["header"] = header();
    result["created"] = value(true);
    value message = value::object();
    message["result"] = result;
    send(watcher.buffer, message.serialize() + "\n");

    const Revision from(start == 0 ? table_.revision().value() + 1 : start);
    const Outcome<std::vector<StoredChange>> changes = table_.changes(watcher.begin, watcher.end, from);
    if (!isOk(changes)) {
        result["canceled"] = value(true);
        result["compact_revision"] = encodeInteger(table_.revision().value());
        message["result"] = result;
        send(watcher.buffer, message.serialize() + "\n");
        watcher.buffer.close(std::ios_base::out).wait();
        return;
    }
    watchers_.push_back(watcher);
    if (!valueOf(changes).empty()) {
        notifyWatchers(from);
    }
}

void StoreStandin::notifyWatchers(Revision from)
{
    for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
        const Outcome<std::vector<StoredChange>> changes = table_.changes(watcher->begin, watcher->end, from);
        if (!isOk(changes) || valueOf(changes).empty()) {
            ++watcher;
            continue;
        }
        std::vector<value> events;
        for (const StoredChange &change : valueOf(changes)) {
            events.push_back(encodeEvent(change));
        }
        value result = value::object();
        result["header"] = header();
        result["events"] = value::array(events);
        value message = value::object();
        message["result"] = result;
        try {
            send(watcher->buffer, message.serialize() + "\n");
            ++watcher;
        } catch (const std::exception &) {
            // The client has closed the watch.
            watcher = watchers_.erase(watcher);
        }
    }
}

void StoreStandin::setFaults(const http_request &request, const value &body)
{
    if (body.has_field("delayMs")) {
        delayMs_ = body.at("delayMs").as_number().to_int64();
    }
    if (body.has_field("away")) {
        const std::string &away = body.at("away").as_string();
        if (away != "no" && away != "refuse" && away != "hang") {
            request.reply(status_codes::BadRequest,
                          gatewayError(CodeInvalidArgument, "away: allowed are no, refuse, hang"));
            return;
        }
        away_ = away == "no" ? Away::No : (away == "refuse" ? Away::Refuse : Away::Hang);
        if (away_ == Away::No) {
            releaseHeld();
        } else {
            for (Watcher &watcher : watchers_) {
                watcher.buffer.close(std::ios_base::out);
            }
            watchers_.clear();
        }
    }
    if (body.has_field("loseAnswers")) {
        loseAnswers_ = body.at("loseAnswers").as_number().to_int64();
    }
    if (body.has_field("expireLeases") && body.at("expireLeases").as_bool()) {
        const Revision before = table_.revision();
        table_.expireAllLeases();
        notifyWatchers(Revision(before.value() + 1));
    }
    if (body.has_field("compact") && body.at("compact").as_bool()) {
        table_.compact();
    }
    request.reply(status_codes::OK, counts());
}

void StoreStandin::releaseHeld()
{
    for (const http_request &request : held_) {
        request.reply(status_codes::ServiceUnavailable, gatewayError(CodeUnavailable, "the store was away"));
    }
    held_.clear();
}

value StoreStandin::header() const
{
    value result = value::object();
    result["revision"] = encodeInteger(table_.revision().value());
    return result;
}

value StoreStandin::counts() const
{
    value result = value::object();
    std::uint64_t total = 0;
    for (const auto &[path, count] : counts_) {
        result[path] = value(count);
        total += count;
    }
    result["calls"] = value(total);
    return result;
}

} // namespace rhubarblane
