#include "store/etcdstore.h"

#include "store/etcdcodec.h"
#include "store/storecall.h"

#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>

#include <utility>

namespace rhubarblane
{

namespace
{

using web::json::value;

constexpr int CodeInvalidArgument = 3;
constexpr int CodeNotFound = 5;
constexpr int CodeOutOfRange = 11;

web::http::http_request makeRequest(const std::string &path, const value &body)
{
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri(path);
    request.set_body(body);
    return request;
}

/** Converts an error response of the gateway, which contains a gRPC status code. */
Error gatewayError(web::http::status_code status, const value &body, ErrorCode uncertainCode)
{
    const auto code = static_cast<int>(decodeInteger(body, "code"));
    std::string text = "the store answered " + std::to_string(status);
    if (body.is_object() && body.has_field("message") && body.at("message").is_string()) {
        text += ": " + body.at("message").as_string();
    }
    if (code == CodeNotFound || code == CodeOutOfRange) {
        return {ErrorCode::NotFound, {}, text};
    }
    if (code == CodeInvalidArgument) {
        return {ErrorCode::InvalidArgument, {}, text};
    }
    return {uncertainCode, {}, text};
}

/** Reads messages of a watch stream, one per line, until one contains changes or an error. */
pplx::task<Outcome<std::vector<StoredChange>>> readChanges(const concurrency::streams::istream &body)
{
    concurrency::streams::container_buffer<std::string> line;
    return body.read_line(line).then([body, line](std::size_t) {
        const std::string text = line.collection();
        if (text.empty()) {
            return pplx::task_from_result<Outcome<std::vector<StoredChange>>>(
                Error {ErrorCode::Unavailable, {}, "the store closed the watch"});
        }
        Outcome<std::vector<StoredChange>> changes = decodeWatch(value::parse(text));
        if (!isOk(changes) || !valueOf(changes).empty()) {
            return pplx::task_from_result(std::move(changes));
        }
        return readChanges(body);
    });
}

} // namespace

EtcdStore::EtcdStore(std::string url, Milliseconds timeout)
    : url_(std::move(url))
    , timeout_(timeout)
{
}

Outcome<value> EtcdStore::call(const std::string &path, const value &request, Effect effect) const
{
    const ErrorCode uncertainCode = effect == Effect::Write ? ErrorCode::Unknown : ErrorCode::Unavailable;
    const Outcome<StoreResponse> answer = callStore(url_, makeRequest(path, request), timeout_, uncertainCode);
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    const StoreResponse &received = valueOf(answer);
    if (received.status != web::http::status_codes::OK) {
        return gatewayError(received.status, received.body, uncertainCode);
    }
    return received.body;
}

Outcome<StoredRange> EtcdStore::range(const std::string &prefix)
{
    const Outcome<value> answer = call("/v3/kv/range", encodeRange(prefix), Effect::Read);
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    try {
        return decodeRange(valueOf(answer));
    } catch (const std::exception &exception) {
        return Error {ErrorCode::Unavailable, {}, std::string("bad answer from the store: ") + exception.what()};
    }
}

Outcome<StorePosition> EtcdStore::commit(const StoreTransaction &transaction)
{
    const Outcome<value> answer = call("/v3/kv/txn", encodeTransaction(transaction), Effect::Write);
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    const value &body = valueOf(answer);
    if (!body.is_object() || !body.has_field("header")) {
        return Error {ErrorCode::Unknown, {}, "bad answer from the store: no header"};
    }
    if (!body.has_field("succeeded") || !body.at("succeeded").is_boolean() || !body.at("succeeded").as_bool()) {
        return Error {ErrorCode::Conflict, {}, "the key was changed by another writer"};
    }
    return StorePosition {StoreEra(), Revision(decodeInteger(body.at("header"), "revision"))};
}

Outcome<std::vector<StoredChange>> EtcdStore::watch(const std::string &prefix, StorePosition from, Milliseconds timeout)
{
    try {
        // The HTTP client's timeout applies to each read and must not end a watch before its own timeout.
        const auto client = makeStoreClient(url_, timeout + timeout_);
        const pplx::cancellation_token_source cancel;
        const CancellableCalls::Registration entry(watches_, cancel);
        if (entry.isCancelled()) {
            return Error {ErrorCode::Unavailable, {}, "watches are cancelled"};
        }
        web::http::http_request request = makeRequest("/v3/watch", encodeWatch(prefix, from.revision));
        request.headers().add("Connection", "close");
        pplx::task<Outcome<std::vector<StoredChange>>> task =
            client->request(request, cancel.get_token()).then([client](const web::http::http_response &response) {
                if (response.status_code() == web::http::status_codes::OK) {
                    return readChanges(response.body()).then([client](Outcome<std::vector<StoredChange>> changes) {
                        return changes;
                    });
                }
                return response.extract_json(true).then(
                    [status = response.status_code()](const value &body) -> Outcome<std::vector<StoredChange>> {
                        return gatewayError(status, body, ErrorCode::Unavailable);
                    });
            });
        std::optional<Outcome<std::vector<StoredChange>>> changes = waitForTask(task, timeout, cancel);
        return changes ? std::move(*changes) : std::vector<StoredChange>();
    } catch (const std::exception &exception) {
        return Error {ErrorCode::Unavailable, {}, std::string("the watch failed: ") + exception.what()};
    }
}

void EtcdStore::cancelWatches()
{
    watches_.cancel();
}

void EtcdStore::allowWatches()
{
    watches_.allow();
}

Outcome<GrantedLease> EtcdStore::grantLease(Milliseconds duration)
{
    value request = value::object();
    // The TTL of a lease is in whole seconds.
    request["TTL"] = encodeInteger(static_cast<std::uint64_t>((duration.count() + 999) / 1000));
    const Outcome<value> answer = call("/v3/lease/grant", request, Effect::Write);
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    const LeaseId lease(decodeInteger(valueOf(answer), "ID"));
    if (lease == LeaseId()) {
        return Error {ErrorCode::Unknown, {}, "bad answer from the store: no lease id"};
    }
    return GrantedLease {StoreEra(), lease};
}

std::optional<Error> EtcdStore::keepLeaseAlive(GrantedLease lease)
{
    value request = value::object();
    request["ID"] = encodeInteger(lease.id.value());
    const Outcome<value> answer = call("/v3/lease/keepalive", request, Effect::Write);
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    const value &body = valueOf(answer);
    if (!body.is_object() || !body.has_field("result") || decodeInteger(body.at("result"), "TTL") == 0) {
        return Error {ErrorCode::NotFound, {}, "the lease has expired"};
    }
    return std::nullopt;
}

std::optional<Error> EtcdStore::revokeLease(GrantedLease lease)
{
    value request = value::object();
    request["ID"] = encodeInteger(lease.id.value());
    const Outcome<value> answer = call("/v3/lease/revoke", request, Effect::Write);
    return isOk(answer) ? std::nullopt : std::optional<Error>(errorOf(answer));
}

} // namespace rhubarblane
