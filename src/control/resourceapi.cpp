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

/** Longest accepted write token, in bytes. */
constexpr std::size_t MaximumTokenLength = 64;

struct Collection {
    const char *path;
    ResourceKind kind;
};

constexpr Collection Collections[] = {
    {"/v1/services", ResourceKind::Service},
    {"/v1/rules", ResourceKind::Rule},
    {"/v1/drains", ResourceKind::Drain},
};

/** Counts a write as in progress for the lifetime of the object. */
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

ApiResponse textResponse(const std::string &text, const std::string &contentType)
{
    ApiResponse response;
    response.body = text;
    response.contentType = contentType;
    return response;
}

/** Returns the version that the client expects; nullopt if the resource must not exist. */
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

/**
 * Error of a write that expects an outdated version. writeErrorResponse() recognizes it by its empty message and adds
 * the current resource to the response.
 */
const Error staleWrite {ErrorCode::Conflict, "metadata.resourceVersion", {}};

bool isStaleWrite(const Error &error)
{
    return error.code == ErrorCode::Conflict && error.message.empty();
}

/** Returns true if the entry has the version that the client expects. */
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
                         TokenGenerator generateToken)
    : name_(settings.name)
    , hooks_(hooks)
    , core_(core)
    , writer_(writer)
    , generateToken_(std::move(generateToken))
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
    return handleReadOnlyPath(request);
}

ApiResponse ResourceApi::handleReadOnlyPath(const ApiRequest &request)
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
        return textResponse(hooks_.metrics(), "text/plain; version=0.0.4");
    }
    if (request.path == "/v1/dump") {
        return textResponse(hooks_.dump(), "application/json");
    }
    if (request.path == "/v1/targets") {
        return textResponse(R"({"items":)" + hooks_.targets() + "}", "application/json");
    }
    return status();
}

ApiResponse ResourceApi::handleResource(const ApiRequest &request, const ResourceId &id)
{
    if (const std::optional<Error> error = checkName(id.name)) {
        return errorResponse(*error);
    }
    if (request.method == "GET") {
        return get(id);
    }
    if (request.method != "PUT" && request.method != "DELETE") {
        return methodNotAllowed("GET, PUT, DELETE");
    }
    if (const std::optional<Error> error = authorize(request)) {
        return errorResponse(*error);
    }
    if (request.body.size() > MaximumBodySize) {
        return errorResponse(413, "tooLarge", "the body is longer than " + std::to_string(MaximumBodySize) + " bytes");
    }
    return request.method == "PUT" ? put(request, id) : erase(request, id);
}

std::optional<Error> ResourceApi::authorize(const ApiRequest &request) const
{
    if (!apiKey_.empty() && isSameSecret(request.header("authorization"), "Bearer " + apiKey_)) {
        return std::nullopt;
    }
    return Error {ErrorCode::Unauthorized, "Authorization", "writes need the API key: Authorization: Bearer KEY"};
}

value ResourceApi::view(const KnownConfiguration &known, const ResourceId &id) const
{
    const ConfigurationEntry *entry = findEntry(known, configurationKey(id.kind, id.name));
    return entry == nullptr ? value::null() : formatResource(id.kind, id.name, *entry, name_, hooks_.liveBalancers());
}

ApiResponse ResourceApi::get(const ResourceId &id) const
{
    const std::shared_ptr<const KnownConfiguration> known = core_.current();
    const value json = view(*known, id);
    if (json.is_null()) {
        return errorResponse(noSuchResource(id.kind, id.name));
    }
    ApiResponse response = jsonResponse(200, json);
    response.headers["ETag"] = '"' + json.at("metadata").at("resourceVersion").as_string() + '"';
    return response;
}

ApiResponse ResourceApi::list(ResourceKind kind) const
{
    const std::shared_ptr<const KnownConfiguration> known = core_.current();
    const std::vector<BalancerRevision> balancers = hooks_.liveBalancers();
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
    for (const BalancerRevision &balancer : hooks_.liveBalancers()) {
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

ApiResponse ResourceApi::put(const ApiRequest &request, const ResourceId &id)
{
    const Outcome<ResourceDocument> document = parseResourceDocument(id.kind, id.name, request.body);
    if (!isOk(document)) {
        return errorResponse(errorOf(document));
    }
    const Outcome<std::optional<Revision>> expected = expectedVersion(request, valueOf(document).resourceVersion);
    if (!isOk(expected)) {
        return errorResponse(errorOf(expected));
    }
    // Errors of the spec itself are reported even while the store is unavailable.
    const Outcome<value> preliminary =
        checkSpec(id.kind, id.name, valueOf(document).spec, core_.current()->configuration);
    if (!isOk(preliminary) && errorOf(preliminary).code == ErrorCode::InvalidArgument) {
        return errorResponse(errorOf(preliminary));
    }
    ConfigurationWrite put;
    put.key = configurationKey(id.kind, id.name);
    put.plan = [&](const KnownConfiguration &known) -> Outcome<PlannedWrite> {
        const ConfigurationEntry *entry = findEntry(known, configurationKey(id.kind, id.name));
        if (!isExpected(entry, valueOf(expected))) {
            return staleWrite;
        }
        const Outcome<value> spec = checkSpec(id.kind, id.name, valueOf(document).spec, known.configuration);
        if (!isOk(spec)) {
            return errorOf(spec);
        }
        StoredResource resource {1, valueOf(spec)};
        if (entry != nullptr) {
            const Outcome<StoredResource> stored = parseStoredResource(entry->value);
            if (isOk(stored)) {
                resource.generation = valueOf(stored).generation + 1;
                // Equal numbers have different types in parsed and in constructed values, so the texts are compared.
                if (valueOf(stored).spec.serialize() == resource.spec.serialize()) {
                    return PlannedWrite {std::nullopt, true};
                }
            }
        }
        return PlannedWrite {formatStoredResource(resource), false};
    };
    return write(request, id, std::move(put));
}

ApiResponse ResourceApi::erase(const ApiRequest &request, const ResourceId &id)
{
    const Outcome<std::optional<Revision>> expected = expectedVersion(request, {});
    if (!isOk(expected)) {
        return errorResponse(errorOf(expected));
    }
    if (!valueOf(expected)) {
        return errorResponse(428, "versionRequired", "a deletion needs If-Match with the resource version");
    }
    ConfigurationWrite erase;
    erase.key = configurationKey(id.kind, id.name);
    erase.plan = [&](const KnownConfiguration &known) -> Outcome<PlannedWrite> {
        const ConfigurationEntry *entry = findEntry(known, configurationKey(id.kind, id.name));
        if (entry == nullptr) {
            return noSuchResource(id.kind, id.name);
        }
        if (!isExpected(entry, valueOf(expected))) {
            return staleWrite;
        }
        if (id.kind == ResourceKind::Service) {
            if (const std::optional<Error> error = checkServiceRemoval(known.configuration, id.name)) {
                return *error;
            }
        }
        return PlannedWrite {};
    };
    return write(request, id, std::move(erase));
}

ApiResponse ResourceApi::write(const ApiRequest &request, const ResourceId &id, ConfigurationWrite write)
{
    const WriteSlot slot(writes_, MaximumConcurrentWrites);
    if (!slot.isGranted()) {
        return errorResponse({ErrorCode::Unavailable, {}, "not stored: too many writes are in progress"});
    }
    const std::string given = request.header("write-token");
    if (given.size() > MaximumTokenLength) {
        return errorResponse({ErrorCode::InvalidArgument,
                              "Write-Token",
                              "must have at most " + std::to_string(MaximumTokenLength) + " characters"});
    }
    write.token = given.empty() ? generateToken_() : given;
    const Outcome<std::shared_ptr<const KnownConfiguration>> outcome = writer_.write(write);
    if (!isOk(outcome)) {
        return writeErrorResponse(errorOf(outcome), id, write.token);
    }
    const KnownConfiguration &known = *valueOf(outcome);
    const value json = view(known, id);
    if (!json.is_null()) {
        ApiResponse response = jsonResponse(200, json);
        response.headers["ETag"] = '"' + json.at("metadata").at("resourceVersion").as_string() + '"';
        return response;
    }
    value deleted = value::object();
    deleted["kind"] = value(nameOf(id.kind));
    deleted["name"] = value(id.name);
    deleted["revision"] = value(std::to_string(known.snapshot.revision.value()));
    return jsonResponse(200, deleted);
}

ApiResponse ResourceApi::writeErrorResponse(const Error &error, const ResourceId &id, const std::string &token) const
{
    if (isStaleWrite(error)) {
        const value current = view(*core_.current(), id);
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
