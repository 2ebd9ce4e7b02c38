#ifndef RHUBARBLANE_BALANCER_SERVICEINDEX_H
#define RHUBARBLANE_BALANCER_SERVICEINDEX_H

#include "base/hash.h"
#include "base/ids.h"
#include "wire/flowtuple.h"

#include <cstdint>
#include <vector>

namespace rhubarblane
{

/**
 * Maps destination address, port and protocol to a service in a flat open-addressing table. A look-up reads one or two
 * cache lines.
 */
class ServiceIndex
{
public:
    /** Creates an empty index with room for this number of services. */
    explicit ServiceIndex(std::size_t services = 0)
    {
        std::size_t size = 16;
        while (size < services * 2) {
            size *= 2;
        }
        entries_.resize(size);
    }

    void insert(std::uint32_t address, std::uint16_t port, Protocol protocol, ServiceId service)
    {
        const std::uint64_t key = keyOf(address, port, protocol);
        std::size_t position = positionOf(key);
        while (entries_[position].key != 0) {
            position = (position + 1) & (entries_.size() - 1);
        }
        entries_[position] = Entry {key, service};
    }

    /** Returns the service of the flow's destination, or ServiceId() if there is none. */
    ServiceId find(const FlowTuple &flow) const
    {
        const std::uint64_t key = keyOf(flow.serviceAddress, flow.servicePort, flow.protocol);
        std::size_t position = positionOf(key);
        while (entries_[position].key != 0) {
            if (entries_[position].key == key) {
                return entries_[position].service;
            }
            position = (position + 1) & (entries_.size() - 1);
        }
        return ServiceId();
    }

private:
    struct Entry {
        std::uint64_t key = 0;
        ServiceId service;
    };

    /** The key is never 0, which marks a free entry, because no protocol has the value 0. */
    static std::uint64_t keyOf(std::uint32_t address, std::uint16_t port, Protocol protocol)
    {
        return (static_cast<std::uint64_t>(address) << 32) | (static_cast<std::uint64_t>(port) << 16)
            | static_cast<std::uint64_t>(protocol);
    }
    std::size_t positionOf(std::uint64_t key) const
    {
        return hashPair(key, 0) & (entries_.size() - 1);
    }

    std::vector<Entry> entries_;
};

} // namespace rhubarblane

#endif
