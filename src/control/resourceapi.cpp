#include "control/resourceapi.h"

#include "control/resourcedocument.h"
#include "model/configurationcheck.h"
#include "model/storedresource.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

using web::json::value;

/** Longest accepted write token. */
constexpr std::size_t MaximumToken = 64;

struct Collection {
    const char *path;
    ResourceKind kind;
};

constexpr Collection Collections[] = {
    {"/v1/services", ResourceKind::Service},
    {"/v1/rules", ResourceKind::Rule},
    {"/v1/drains", ResourceKind::Drain},
};

/** Counts a write in progress while it lives. */
class WriteSlot
{
public:
    WriteSlot(std::atomic<int> &count, int limit)
        : count_(count)
        , granted_(count.fetch_add(1) < limit)
    {
    }
    ~WriteSlot()
    {
        count_.fetch_sub(1);
    }
    WriteSlot(const WriteSlot &) = delete;
    WriteSlot &operator=(const WriteSlot &) = delete;

    bool isGranted() const
    {
        return granted_;
    }

private:
    std::atomic<int> &count_;
    bool granted_;
};

ApiResponse methodNotAllowed(const std::string &allowed)
{
    ApiResponse response = errorResponse(405, "methodNotAllowed", "allowed: " + allowed);
    response.headers["Allow"] = allowed;
    return response;
}

ApiResponse pageOf(const std::string &text, const std::string &contentType)
{
    ApiResponse response;
    response.body = text;
    response.contentType = contentType;
    return response;
}

/** The version that the writer expects: nothing if the resource must not exist. */
Outcome<std::optional<Revision>> expectedVersion(const ApiRequest &request, const std::string &inBody)
{
    const std::string match = request.header("if-match");
    const std::string noneMatch = request.header("if-none-match");
    if (!noneMatch.empty()) {
        if (noneMatch != "*") {
            return Error {ErrorCode::InvalidArgument, "If-None-Match", "must be *"};
        }
        if (!match.empty() || !inBody.empty()) {
            return Error {ErrorCode::InvalidArgument, "If-None-Match", "contradicts the resource version"};
        }
        return std::optional<Revision>();
    }
    if (match.empty() && inBody.empty()) {
        return std::optional<Revision>();
    }
    const std::optional<Revision> version = parseResourceVersion(match.empty() ? inBody : match);
    if (!version) {
        return Error {ErrorCode::InvalidArgument, "If-Match", "must be one resource version"};
    }
    if (!match.empty() && !inBody.empty() && parseResourceVersion(inBody) != version) {
        return Error {ErrorCode::InvalidArgument, "If-Match", "contradicts metadata.resourceVersion"};
    }
    return version;
}

/** A stale write. The empty message marks it for writeFailed(), which adds the current object. */
const Error staleWrite {ErrorCode::Conflict, "metadata.resourceVersion", {}};

bool isStaleWrite(const Error &error)
{
    return error.code == ErrorCode::Conflict && error.message.empty();
}

/** True if the entry is the one that the writer has seen. */
bool isExpected(const ConfigurationEntry *entry, const std::optional<Revision> &expected)
{
    return expected ? entry != nullptr && entry->modified == *expected : entry == nullptr;
}

const ConfigurationEntry *findEntry(const KnownConfiguration &known, const std::string &key)
{
    const auto entry = known.snapshot.entries.find(key);
    return entry == known.snapshot.entries.end() ? nullptr : &entry->second;
}

Error noSuchResource(ResourceKind kind, const std::string &name)
{
    return {ErrorCode::NotFound, "metadata.name", "there is no " + nameOf(kind) + " '" + name + "'"};
}

} // namespace

ResourceApi::ResourceApi(const ControlSettings &settings,
                         const ControlHooks &hooks,
                         const ConfigurationCore &core,
                         ConfigurationWriter &writer,
                         TokenSource tokens)
    : name_(settings.name)
    , hooks_(hooks)
    , core_(core)
    , writer_(writer)
    , tokens_(std::move(tokens))
{
    const std::string &apiKey = settings.apiKey;
    const std::string space = " \t\r\n";
    const std::size_t first = apiKey.find_first_not_of(space);
    if (first != std::string::npos) {
        apiKey_ = apiKey.substr(first, apiKey.find_last_not_of(space) - first + 1);
    }
}

ApiResponse ResourceApi::handle(const ApiRequest &request)
{
    for (const Collection &collection : Collections) {
        const std::string path = collection.path;
        if (request.path == path || request.path == path + "/") {
            return request.method == "GET" ? list(collection.kind) : methodNotAllowed("GET");
        }
        if (request.path.compare(0, path.size() + 1, path + "/") == 0) {
            return handleResource(request, {collection.kind, request.path.substr(path.size() + 1)});
        }
    }
    return handlePage(request);
}

ApiResponse ResourceApi::handlePage(const ApiRequest &request)
{
    const bool known = request.path == "/metrics" || request.path == "/v1/dump" || request.path == "/v1/targets"
        || request.path == "/v1/status";
    if (!known) {
        return errorResponse(404, "notFound", "there is no path '" + request.path + "'");
    }
    if (request.method != "GET") {
        return methodNotAllowed("GET");
    }
    if (request.path == "/metrics") {
        return pageOf(hooks_.metrics(), "text/plain; version=0.0.4");
    }
    if (request.path == "/v1/dump") {
        return pageOf(hooks_.dump(), "application/json");
    }
    if (request.path == "/v1/targets") {
        return pageOf(R"({"items":)" + hooks_.targets() + "}", "application/json");
    }
    return status();
}

ApiResponse ResourceApi::handleResource(const ApiRequest &request, const Target &target)
{
    if (const std::optional<Error> error = checkName(target.name)) {
        return errorResponse(*error);
    }
    if (request.method == "GET") {
        return get(target);
    }
    if (request.method != "PUT" && request.method != "DELETE") {
        return methodNotAllowed("GET, PUT, DELETE");
    }
    if (const std::optional<Error> error = authorize(request)) {
        return errorResponse(*error);
    }
    if (request.body.size() > MaximumBody) {
        return errorResponse(413, "tooLarge", "the body is longer than " + std::to_string(MaximumBody) + " bytes");
    }
    return request.method == "PUT" ? put(request, target) : erase(request, target);
}

std::optional<Error> ResourceApi::authorize(const ApiRequest &request) const
{
    if (!apiKey_.empty() && isSameSecret(request.header("authorization"), "Bearer " + apiKey_)) {
        return std::nullopt;
    }
    return Error {ErrorCode::Unauthorized, "Authorization", "writes need the API key: Authorization: Bearer KEY"};
}

value ResourceApi::view(const KnownConfiguration &known, const Target &target) const
{
    const ConfigurationEntry *entry = findEntry(known, configurationKey(target.kind, target.name));
    return entry == nullptr ? value::null() : formatResource(target.kind, target.name, *entry, name_, hooks_.inForce());
}

ApiResponse ResourceApi::get(const Target &target) const
{
    const std::shared_ptr<const KnownConfiguration> known = core_.current();
    const value json = view(*known, target);
    if (json.is_null()) {
        return errorResponse(noSuchResource(target.kind, target.name));
    }
    ApiResponse response = jsonResponse(200, json);
    response.headers["ETag"] = '"' + json.at("metadata").at("resourceVersion").as_string() + '"';
    return response;
}

ApiResponse ResourceApi::list(ResourceKind kind) const
{
    const std::shared_ptr<const KnownConfiguration> known = core_.current();
    const std::vector<BalancerRevision> balancers = hooks_.inForce();
    const std::string prefix = configurationKey(kind, {});
    std::vector<value> items;
    for (auto entry = known->snapshot.entries.lower_bound(prefix);
         entry != known->snapshot.entries.end() && entry->first.compare(0, prefix.size(), prefix) == 0;
         ++entry) {
        items.push_back(formatResource(kind, entry->first.substr(prefix.size()), entry->second, name_, balancers));
    }
    value json = value::object();
    json["revision"] = value(std::to_string(known->snapshot.revision.value()));
    json["items"] = value::array(items);
    return jsonResponse(200, json);
}

ApiResponse ResourceApi::status() const
{
    const std::shared_ptr<const KnownConfiguration> known = core_.current();
    std::vector<value> balancers;
    for (const BalancerRevision &balancer : hooks_.inForce()) {
        value entry = value::object();
        entry["name"] = value(balancer.name);
        entry["revision"] = value(std::to_string(balancer.revision.value()));
        balancers.push_back(entry);
    }
    value json = value::object();
    json["balancer"] = value(name_);
    json["revision"] = value(std::to_string(known->snapshot.revision.value()));
    json["balancers"] = value::array(balancers);
    return jsonResponse(200, json);
}

ApiResponse ResourceApi::put(const ApiRequest &request, const Target &target)
{
    const Outcome<ResourceDocument> document = parseResourceDocument(target.kind, target.name, request.body);
    if (!isOk(document)) {
        return errorResponse(errorOf(document));
    }
    const Outcome<std::optional<Revision>> expected = expectedVersion(request, valueOf(document).resourceVersion);
    if (!isOk(expected)) {
        return errorResponse(errorOf(expected));
    }
    // Errors of the spec itself are answered even while the store is away.
    const Outcome<value> alone =
        checkSpec(target.kind, target.name, valueOf(document).spec, core_.current()->configuration);
    if (!isOk(alone) && errorOf(alone).code == ErrorCode::InvalidArgument) {
        return errorResponse(errorOf(alone));
    }
    ConfigurationWrite put;
    put.key = configurationKey(target.kind, target.name);
    put.plan = [&](const KnownConfiguration &known) -> Outcome<PlannedWrite> {
        const ConfigurationEntry *entry = findEntry(known, configurationKey(target.kind, target.name));
        if (!isExpected(entry, valueOf(expected))) {
            return staleWrite;
        }
        const Outcome<value> spec = checkSpec(target.kind, target.name, valueOf(document).spec, known.configuration);
        if (!isOk(spec)) {
            return errorOf(spec);
        }
        StoredResource resource {1, valueOf(spec)};
        if (entry != nullptr) {
            const Outcome<StoredResource> stored = parseStoredResource(entry->value);
            if (isOk(stored)) {
                resource.generation = valueOf(stored).generation + 1;
                // Values that were parsed and values that were built hold equal numbers in different types.
                if (valueOf(stored).spec.serialize() == resource.spec.serialize()) {
                    return PlannedWrite {std::nullopt, true};
                }
            }
        }
        return PlannedWrite {formatStoredResource(resource), false};
    };
    return write(request, target, std::move(put));
}

ApiResponse ResourceApi::erase(const ApiRequest &request, const Target &target)
{
    const Outcome<std::optional<Revision>> expected = expectedVersion(request, {});
    if (!isOk(expected)) {
        return errorResponse(errorOf(expected));
    }
    if (!valueOf(expected)) {
        return errorResponse(428, "versionRequired", "a deletion needs If-Match with the resource version");
    }
    ConfigurationWrite erase;
    erase.key = configurationKey(target.kind, target.name);
    erase.plan = [&](const KnownConfiguration &known) -> Outcome<PlannedWrite> {
        const ConfigurationEntry *entry = findEntry(known, configurationKey(target.kind, target.name));
        if (entry == nullptr) {
            return noSuchResource(target.kind, target.name);
        }
        if (!isExpected(entry, valueOf(expected))) {
            return staleWrite;
        }
        if (target.kind == ResourceKind::Service) {
            if (const std::optional<Error> error = checkServiceRemoval(known.configuration, target.name)) {
                return *error;
            }
        }
        return PlannedWrite {};
    };
    return write(request, target, std::move(erase));
}

ApiResponse ResourceApi::write(const ApiRequest &request, const Target &target, ConfigurationWrite write)
{
    const WriteSlot slot(writes_, MaximumWrites);
    if (!slot.isGranted()) {
        return errorResponse({ErrorCode::Unavailable, {}, "not stored: too many writes are in progress"});
    }
    const std::string given = request.header("write-token");
    if (given.size() > MaximumToken) {
        return errorResponse({ErrorCode::InvalidArgument,
                              "Write-Token",
                              "must have at most " + std::to_string(MaximumToken) + " characters"});
    }
    write.token = given.empty() ? tokens_() : given;
    const Outcome<std::shared_ptr<const KnownConfiguration>> outcome = writer_.write(write);
    if (!isOk(outcome)) {
        return writeFailed(errorOf(outcome), target, write.token);
    }
    const KnownConfiguration &known = *valueOf(outcome);
    const value json = view(known, target);
    if (!json.is_null()) {
        ApiResponse response = jsonResponse(200, json);
        response.headers["ETag"] = '"' + json.at("metadata").at("resourceVersion").as_string() + '"';
        return response;
    }
    value deleted = value::object();
    deleted["kind"] = value(nameOf(target.kind));
    deleted["name"] = value(target.name);
    deleted["revision"] = value(std::to_string(known.snapshot.revision.value()));
    return jsonResponse(200, deleted);
}

ApiResponse ResourceApi::writeFailed(const Error &error, const Target &target, const std::string &token) const
{
    if (isStaleWrite(error)) {
        const value current = view(*core_.current(), target);
        value body = errorBody(
            "stale",
            {error.code,
             error.field,
             current.is_null() ? "the resource does not exist" : "the resource has another version; see current"});
        body["current"] = current;
        return jsonResponse(412, body);
    }
    if (error.code == ErrorCode::Unknown) {
        value body = errorBody("outcomeUnknown", error);
        body["token"] = value(token);
        ApiResponse response = jsonResponse(503, body);
        response.headers["Write-Token"] = token;
        return response;
    }
    return errorResponse(error);
}

} // namespace rhubarblane
