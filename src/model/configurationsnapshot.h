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

/** All keys of the configuration start with this. */
extern const std::string configurationPrefix;

/**
 * Every write of the configuration also writes this key and compares its revision, so that checks across objects hold
 * when two operators write at once. Its modification revision is the revision of the configuration.
 */
extern const std::string configurationVersionKey;

enum class ResourceKind {
    Service,
    Rule,
    Drain,
};

/** "service", "rule" or "drain". */
std::string nameOf(ResourceKind kind);
std::string configurationKey(ResourceKind kind, const std::string &name);

/** One stored key of the configuration. */
struct ConfigurationEntry {
    std::string value;
    Revision modified;

    friend bool operator==(const ConfigurationEntry &a, const ConfigurationEntry &b)
    {
        return a.value == b.value && a.modified == b.modified;
    }
};

/** The stored form of one revision of the configuration. */
struct ConfigurationSnapshot {
    Revision revision;
    std::map<std::string, ConfigurationEntry> entries;

    /** Depends on the revision and on every key, value and modification revision. */
    std::uint64_t digest() const;

    /**
     * Decodes all objects and builds the index. An object that cannot be decoded is left out, and its key and error
     * are added to `errors`.
     */
    Configuration decode(std::vector<std::string> &errors) const;

    /** The same, but decodes only what differs from an earlier snapshot, of which `base` is the decoded form. */
    Configuration decodeChanges(const ConfigurationSnapshot &earlier,
                                const Configuration &base,
                                std::vector<std::string> &errors) const;
};

} // namespace rhubarblane

#endif
