#ifndef RHUBARBLANE_MODEL_CONFIGURATIONSNAPSHOT_H
#define RHUBARBLANE_MODEL_CONFIGURATIONSNAPSHOT_H

#include "base/ids.h"
#include "model/configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The prefix of all configuration keys in the store. */
extern const std::string configurationPrefix;

/**
 * Every write of the configuration also writes this key and compares its revision, so that checks across objects hold
 * under concurrent writes. Its modification revision is the revision of the configuration.
 */
extern const std::string configurationVersionKey;

enum class ResourceKind {
    Service,
    Rule,
    Drain,
};

/** Returns "service", "rule" or "drain". */
std::string nameOf(ResourceKind kind);
std::string configurationKey(ResourceKind kind, const std::string &name);

/** The stored value of one configuration key. */
struct ConfigurationEntry {
    std::string value;
    Revision modified;

    friend bool operator==(const ConfigurationEntry &a, const ConfigurationEntry &b)
    {
        return a.value == b.value && a.modified == b.modified;
    }
};

/** One revision of the configuration in its stored form. */
struct ConfigurationSnapshot {
    Revision revision;
    std::map<std::string, ConfigurationEntry> entries;

    /** Returns a hash of the revision and of every key, value and modification revision. */
    std::uint64_t digest() const;

    /**
     * Decodes all objects and builds the index. Omits objects that cannot be decoded, and appends their keys and errors
     * to `errors`.
     */
    Configuration decode(std::vector<std::string> &errors) const;

    /** Like decode(), but decodes only the differences to an earlier snapshot; `base` is its decoded form. */
    Configuration decodeChanges(const ConfigurationSnapshot &earlier,
                                const Configuration &base,
                                std::vector<std::string> &errors) const;
};

} // namespace rhubarblane

#endif
