#include "model/configurationsnapshot.h"

#include "base/hash.h"
#include "model/resourcecodec.h"
#include "model/storedresource.h"

namespace rhubarblane
{

const std::string ConfigurationPrefix = "/rhubarblane/config/";
const std::string ConfigurationVersionKey = ConfigurationPrefix + "version";

namespace
{

/** Decodes one object into its map; returns the error text, empty if there is none. */
template<typename Spec>
std::string decodeInto(std::map<std::string, Spec> &objects,
                       const std::string &name,
                       const web::json::value &spec,
                       Outcome<Spec> (*parse)(const std::string &, const web::json::value &))
{
    Outcome<Spec> parsed = parse(name, spec);
    if (!isOk(parsed)) {
        return errorOf(parsed).field + " " + errorOf(parsed).message;
    }
    objects[name] = takeValue(std::move(parsed));
    return {};
}

} // namespace

std::string nameOf(ResourceKind kind)
{
    switch (kind) {
    case ResourceKind::Service:
        return "service";
    case ResourceKind::Rule:
        return "rule";
    case ResourceKind::Drain:
        return "drain";
    }
    return {};
}

std::string configurationKey(ResourceKind kind, const std::string &name)
{
    return ConfigurationPrefix + nameOf(kind) + "/" + name;
}

std::uint64_t ConfigurationSnapshot::digest() const
{
    std::uint64_t result = revision.value();
    for (const auto &[key, entry] : entries) {
        result = hashPair(result, hashBytes(key));
        result = hashPair(result, hashBytes(entry.value));
        result = hashPair(result, entry.modified.value());
    }
    return result;
}

Configuration ConfigurationSnapshot::decode(std::vector<std::string> &errors) const
{
    Configuration configuration;
    configuration.revision = revision;
    configuration.digest = digest();
    for (const auto &[key, entry] : entries) {
        if (key == ConfigurationVersionKey) {
            continue;
        }
        const std::string path = key.substr(ConfigurationPrefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        const Outcome<StoredResource> stored = parseStoredResource(entry.value);
        std::string error;
        if (!isOk(stored)) {
            error = errorOf(stored).message;
        } else if (kind == nameOf(ResourceKind::Service)) {
            error = decodeInto(configuration.services, name, valueOf(stored).spec, parseService);
        } else if (kind == nameOf(ResourceKind::Rule)) {
            error = decodeInto(configuration.rules, name, valueOf(stored).spec, parseRule);
        } else if (kind == nameOf(ResourceKind::Drain)) {
            error = decodeInto(configuration.drains, name, valueOf(stored).spec, parseDrain);
        } else {
            error = "unknown kind";
        }
        if (!error.empty()) {
            errors.push_back(key);
            errors.back().append(": ").append(error);
        }
    }
    configuration.buildIndex();
    return configuration;
}

} // namespace rhubarblane
