#include "model/configurationsnapshot.h"

#include "base/hash.h"
#include "model/resourcecodec.h"
#include "model/storedresource.h"

namespace rhubarblane
{

const std::string configurationPrefix = "/rhubarblane/config/";
const std::string configurationVersionKey = configurationPrefix + "version";

namespace
{

/** Decodes an object into its map, or removes it if `entry` is null. Returns the error text; empty on success. */
template<typename Spec>
std::string decodeInto(std::map<std::string, Spec> &objects,
                       const std::string &name,
                       const ConfigurationEntry *entry,
                       Outcome<Spec> (*parse)(const std::string &, const web::json::value &))
{
    // An object that cannot be decoded is omitted even if its earlier value was valid.
    objects.erase(name);
    if (entry == nullptr) {
        return {};
    }
    const Outcome<StoredResource> stored = parseStoredResource(entry->value);
    if (!isOk(stored)) {
        return errorOf(stored).message;
    }
    Outcome<Spec> parsed = parse(name, valueOf(stored).spec);
    if (!isOk(parsed)) {
        return errorOf(parsed).field + " " + errorOf(parsed).message;
    }
    objects[name] = takeValue(std::move(parsed));
    return {};
}

std::string decodeEntry(Configuration &configuration, const std::string &key, const ConfigurationEntry *entry)
{
    if (key == configurationVersionKey) {
        return {};
    }
    if (key.compare(0, configurationPrefix.size(), configurationPrefix) != 0) {
        return "is outside of " + configurationPrefix;
    }
    const std::string path = key.substr(configurationPrefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    if (kind == nameOf(ResourceKind::Service)) {
        return decodeInto(configuration.services, name, entry, parseService);
    }
    if (kind == nameOf(ResourceKind::Rule)) {
        return decodeInto(configuration.rules, name, entry, parseRule);
    }
    if (kind == nameOf(ResourceKind::Drain)) {
        return decodeInto(configuration.drains, name, entry, parseDrain);
    }
    return "unknown kind";
}

/** Returns true for objects that ConfigurationIndex contains. */
bool isIndexed(const std::string &key)
{
    const std::string drains = configurationKey(ResourceKind::Drain, {});
    return key != configurationVersionKey && key.compare(0, drains.size(), drains) != 0;
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
    return configurationPrefix + nameOf(kind) + "/" + name;
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
    return decodeChanges({}, {}, errors);
}

Configuration ConfigurationSnapshot::decodeChanges(const ConfigurationSnapshot &earlier,
                                                   const Configuration &base,
                                                   std::vector<std::string> &errors) const
{
    Configuration configuration = base;
    configuration.revision = revision;
    configuration.digest = digest();
    bool indexIsCurrent = base.index != nullptr;
    const auto change = [&](const std::string &key, const ConfigurationEntry *entry) {
        indexIsCurrent = indexIsCurrent && !isIndexed(key);
        const std::string error = decodeEntry(configuration, key, entry);
        if (!error.empty()) {
            errors.push_back(key);
            errors.back().append(": ").append(error);
        }
    };
    // Both maps are sorted by key.
    auto old = earlier.entries.begin();
    for (const auto &[key, entry] : entries) {
        for (; old != earlier.entries.end() && old->first < key; ++old) {
            change(old->first, nullptr);
        }
        if (old != earlier.entries.end() && old->first == key) {
            if (!(old->second == entry)) {
                change(key, &entry);
            }
            ++old;
        } else {
            change(key, &entry);
        }
    }
    for (; old != earlier.entries.end(); ++old) {
        change(old->first, nullptr);
    }
    if (!indexIsCurrent) {
        configuration.buildIndex();
    }
    return configuration;
}

} // namespace rhubarblane
