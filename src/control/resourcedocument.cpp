#include "control/resourcedocument.h"

#include "model/configurationcheck.h"
#include "model/fieldreader.h"
#include "model/resourcecodec.h"
#include "model/storedresource.h"
#include "wire/jsontext.h"

#include <cpprest/asyncrt_utils.h>

#include <algorithm>
#include <limits>

namespace rhubarblane
{

namespace
{

using web::json::value;

/** Every number with 19 decimal digits fits into 64 bits. */
constexpr std::size_t MaximumVersionDigits = 19;

Error inSpec(const Error &error)
{
    return {error.code, error.field.empty() ? "spec" : "spec." + error.field, error.message};
}

bool isUtf8(const std::string &text)
{
    try {
        utility::conversions::utf8_to_utf16(text);
        return true;
    } catch (const std::range_error &) {
        return false;
    }
}

/** Validates a parsed spec with `check`, which may be null, and formats it with all defaults filled in. */
template<typename Spec>
Outcome<value> checkParsed(Outcome<Spec> parsed,
                           const Configuration &configuration,
                           std::optional<Error> (*check)(const Configuration &, const Spec &))
{
    if (!isOk(parsed)) {
        return inSpec(errorOf(parsed));
    }
    if (check != nullptr) {
        if (std::optional<Error> error = check(configuration, valueOf(parsed))) {
            return *error;
        }
    }
    return toJson(valueOf(parsed));
}

} // namespace

Outcome<ResourceDocument> parseResourceDocument(ResourceKind kind, const std::string &name, const std::string &body)
{
    if (!isUtf8(body)) {
        return Error {ErrorCode::InvalidArgument, "body", "is not UTF-8"};
    }
    const Outcome<value> parsed = parseJson(body);
    if (!isOk(parsed)) {
        return Error {ErrorCode::InvalidArgument, "body", "is not JSON: " + errorOf(parsed).message};
    }
    const value &json = valueOf(parsed);
    if (!json.is_object()) {
        return Error {ErrorCode::InvalidArgument, "body", "must be a JSON object"};
    }
    FieldReader reader(json);
    reader.choice("kind", {nameOf(kind)}, nameOf(kind));
    // `status` and `metadata.generation` are set by the server. They are accepted so that the response to a GET can be
    // edited and sent back.
    reader.object("status");
    FieldReader metadata(reader.object("metadata"));
    metadata.choice("name", {name}, name);
    metadata.integer("generation", 0, std::numeric_limits<std::int64_t>::max(), 0);
    ResourceDocument document;
    document.resourceVersion = metadata.text("resourceVersion", {});
    if (const std::optional<Error> error = metadata.finish()) {
        reader.fail(error->field.empty() ? "metadata" : "metadata." + error->field, error->message);
    }
    if (!document.resourceVersion.empty() && !parseResourceVersion(document.resourceVersion)) {
        reader.fail("metadata.resourceVersion", "is not a resource version");
    }
    if (!json.has_field("spec")) {
        reader.fail("spec", "is required");
    }
    document.spec = reader.object("spec");
    if (const std::optional<Error> error = reader.finish()) {
        return *error;
    }
    return document;
}

Outcome<value>
checkSpec(ResourceKind kind, const std::string &name, const value &spec, const Configuration &configuration)
{
    switch (kind) {
    case ResourceKind::Service:
        return checkParsed(parseService(name, spec), configuration, checkService);
    case ResourceKind::Rule:
        return checkParsed(parseRule(name, spec), configuration, checkRule);
    case ResourceKind::Drain:
        break;
    }
    return checkParsed<DrainSpec>(parseDrain(name, spec), configuration, nullptr);
}

value formatResource(ResourceKind kind,
                     const std::string &name,
                     const ConfigurationEntry &entry,
                     const std::string &localBalancer,
                     const std::vector<BalancerRevision> &balancers)
{
    const Outcome<StoredResource> stored = parseStoredResource(entry.value);
    const std::uint64_t generation = isOk(stored) ? valueOf(stored).generation : 0;

    value metadata = value::object();
    metadata["name"] = value(name);
    metadata["generation"] = value(generation);
    metadata["resourceVersion"] = value(std::to_string(entry.modified.value()));

    std::uint64_t observed = 0;
    std::uint64_t inForce = 0;
    std::vector<value> lagging;
    for (const BalancerRevision &balancer : balancers) {
        if (balancer.revision < entry.modified) {
            lagging.emplace_back(balancer.name);
            continue;
        }
        ++inForce;
        if (balancer.name == localBalancer) {
            observed = generation;
        }
    }
    std::sort(
        lagging.begin(), lagging.end(), [](const value &a, const value &b) { return a.as_string() < b.as_string(); });
    value status = value::object();
    status["observedGeneration"] = value(observed);
    status["inForce"] = value(inForce);
    status["lagging"] = value::array(lagging);

    value json = value::object();
    json["kind"] = value(nameOf(kind));
    json["metadata"] = metadata;
    json["spec"] = isOk(stored) ? valueOf(stored).spec : value::object();
    json["status"] = status;
    return json;
}

std::optional<Revision> parseResourceVersion(const std::string &text)
{
    std::string digits = text;
    if (digits.size() >= 2 && digits.front() == '"' && digits.back() == '"') {
        digits = digits.substr(1, digits.size() - 2);
    }
    const bool valid = !digits.empty() && digits.size() <= MaximumVersionDigits
        && std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!valid) {
        return std::nullopt;
    }
    return Revision(std::stoull(digits));
}

} // namespace rhubarblane
