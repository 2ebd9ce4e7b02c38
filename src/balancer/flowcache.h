#ifndef RHUBARBLANE_BALANCER_FLOWCACHE_H
#define RHUBARBLANE_BALANCER_FLOWCACHE_H

#include "base/ids.h"

#include <array>
#include <cstdint>
#include <vector>

namespace rhubarblane
{

/** The owner of a cached flow, which receives the flow's packets. */
struct CachedOwner {
    std::uint64_t incarnation = 0;
    /** Index of the owner in the target table. */
    std::uint32_t target = 0;
    /** IPv4 address of the owner's agent. */
    std::uint32_t address = 0;
    std::uint16_t port = 0;
};

/**
 * A bounded set-associative cache of flow owners. Each flow maps to one bucket of eight entries, so a look-up reads at
 * most two neighbouring parts of one bucket. The table grows up to its limit and uses 32 bytes per entry.
 */
class FlowCache
{
public:
    /** `limit` is the maximum number of flows. It is rounded up to a power of two of at least 64. */
    explicit FlowCache(std::size_t limit);

    /** Prefetches the flow's bucket, so that a look-up soon after does not stall on memory. */
    void prefetch(FlowHash flow) const
    {
        const Bucket &bucket = buckets_[flow.value() & (buckets_.size() - 1)];
        __builtin_prefetch(&bucket);
        __builtin_prefetch(&bucket.incarnations);
        __builtin_prefetch(&bucket.targets);
        __builtin_prefetch(&bucket.ports);
    }

    /**
     * Returns the owner of the flow and marks the entry as used; null if the flow is not cached. The result is valid
     * until the next call.
     */
    const CachedOwner *find(FlowHash flow);

    /**
     * Inserts or replaces a flow of the service. If the bucket is full, it evicts an entry of the same service, or an
     * unused entry of a service with more cached flows, so a flood of new flows to one service does not evict the flows
     * of other services. Returns false, without caching the flow, if no entry may be evicted.
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
    /** Returns the way that holds the hash, or `Ways` if there is none. */
    static std::size_t wayOf(const Bucket &bucket, std::uint64_t hash);
    /** Returns the way to write a new flow of the service to, or `Ways` if no entry may be evicted. */
    std::size_t victimOf(Bucket &bucket, std::uint16_t service);
    std::uint16_t counterIndexOf(ServiceId service) const;
    void write(Bucket &bucket, std::size_t way, std::uint64_t hash, std::uint16_t service, const CachedOwner &owner);
    void grow();

    std::size_t maximumBuckets_;
    std::vector<Bucket> buckets_;
    /** Number of cached flows by service. Services whose ids are equal modulo the size share a counter. */
    std::vector<std::uint32_t> flowCounts_;
    std::size_t size_ = 0;
    /** Holds the result of the last call of find(). */
    CachedOwner found_;
};

} // namespace rhubarblane

#endif
