#ifndef RHUBARBLANE_BALANCER_FLOWCACHE_H
#define RHUBARBLANE_BALANCER_FLOWCACHE_H

#include "base/ids.h"

#include <array>
#include <cstdint>
#include <vector>

namespace rhubarblane
{

/** Where the packets of a cached flow go. */
struct CachedOwner {
    std::uint64_t incarnation = 0;
    /** Index of the owner in the target table. */
    std::uint32_t target = 0;
    std::uint32_t address = 0;
    std::uint16_t port = 0;
};

/**
 * Owners of flows, in a bounded open-addressing table. A flow lies in one bucket of eight entries, so a look-up reads
 * at most two neighbouring parts of one bucket. The table grows up to its limit and uses 32 bytes for each entry.
 */
class FlowCache
{
public:
    /** `limit` is the number of flows, rounded up to a power of two of at least 64. */
    explicit FlowCache(std::size_t limit);

    /** Starts to load the flow's bucket; a look-up soon after does not wait for the memory. */
    void prefetch(FlowHash flow) const
    {
        const Bucket &bucket = buckets_[flow.value() & (buckets_.size() - 1)];
        __builtin_prefetch(&bucket);
        __builtin_prefetch(&bucket.incarnations);
        __builtin_prefetch(&bucket.targets);
        __builtin_prefetch(&bucket.ports);
    }

    /** Null if the flow is not cached. Marks the entry as used. */
    const CachedOwner *find(FlowHash flow);

    /**
     * Adds or replaces a flow of the service. A full bucket loses an entry of the same service, or an entry without
     * traffic of a service with more cached flows; so a flood of new flows on one service costs other services nothing.
     * Returns false if there is no such entry; the flow is not cached then.
     */
    bool insert(FlowHash flow, ServiceId service, const CachedOwner &owner);

    void erase(FlowHash flow);

    std::size_t size() const
    {
        return size_;
    }
    std::size_t memoryBytes() const
    {
        return buckets_.size() * sizeof(Bucket);
    }

private:
    static constexpr std::size_t Ways = 8;
    static constexpr std::uint8_t Occupied = 1;
    static constexpr std::uint8_t Used = 2;

    struct Bucket {
        std::array<std::uint64_t, Ways> hashes = {};
        std::array<std::uint64_t, Ways> incarnations = {};
        std::array<std::uint32_t, Ways> targets = {};
        std::array<std::uint32_t, Ways> addresses = {};
        std::array<std::uint16_t, Ways> ports = {};
        std::array<std::uint16_t, Ways> services = {};
        std::array<std::uint8_t, Ways> flags = {};
        std::array<std::uint8_t, Ways> reserved = {};
    };

    Bucket &bucketOf(std::uint64_t hash)
    {
        return buckets_[hash & (buckets_.size() - 1)];
    }
    static std::size_t wayOf(const Bucket &bucket, std::uint64_t hash);
    std::size_t victimOf(Bucket &bucket, std::uint16_t service);
    std::uint16_t counterIndexOf(ServiceId service) const;
    void write(Bucket &bucket, std::size_t way, std::uint64_t hash, std::uint16_t service, const CachedOwner &owner);
    void grow();

    std::size_t maximumBuckets_;
    std::vector<Bucket> buckets_;
    /** Cached flows by service; services share a counter if their ids are equal modulo its size. */
    std::vector<std::uint32_t> flowCounts_;
    std::size_t size_ = 0;
    CachedOwner found_;
};

} // namespace rhubarblane

#endif
