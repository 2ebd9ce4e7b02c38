#include "balancer/flowcache.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

constexpr std::size_t MinimumBuckets = 8;
constexpr std::size_t ServiceCounters = 65536;

std::size_t bucketCountFor(std::size_t minimum)
{
    std::size_t result = MinimumBuckets;
    while (result < minimum) {
        result *= 2;
    }
    return result;
}

} // namespace

FlowCache::FlowCache(std::size_t limit)
    : maximumBuckets_(bucketCountFor((limit + Ways - 1) / Ways))
    , buckets_(MinimumBuckets)
    , flowCounts_(ServiceCounters, 0)
{
}

const CachedOwner *FlowCache::find(FlowHash flow)
{
    Bucket &bucket = bucketOf(flow.value());
    const std::size_t way = wayOf(bucket, flow.value());
    if (way == Ways) {
        return nullptr;
    }
    if ((bucket.flags[way] & Used) == 0) {
        bucket.flags[way] |= Used;
    }
    found_ = CachedOwner {bucket.incarnations[way], bucket.targets[way], bucket.addresses[way], bucket.ports[way]};
    return &found_;
}

bool FlowCache::insert(FlowHash flow, ServiceId service, const CachedOwner &owner)
{
    const std::uint64_t hash = flow.value();
    const std::uint16_t counter = counterIndexOf(service);
    const std::size_t known = wayOf(bucketOf(hash), hash);
    if (known < Ways) {
        Bucket &bucket = bucketOf(hash);
        --flowCounts_[bucket.services[known]];
        write(bucket, known, hash, counter, owner);
        return true;
    }
    const auto isFull = [](const Bucket &bucket) {
        return std::all_of(
            bucket.flags.begin(), bucket.flags.end(), [](std::uint8_t f) { return (f & Occupied) != 0; });
    };
    while (isFull(bucketOf(hash)) && buckets_.size() < maximumBuckets_) {
        grow();
    }
    Bucket &bucket = bucketOf(hash);
    const std::size_t way = victimOf(bucket, counter);
    if (way == Ways) {
        return false;
    }
    if ((bucket.flags[way] & Occupied) != 0) {
        --flowCounts_[bucket.services[way]];
        --size_;
    }
    ++size_;
    write(bucket, way, hash, counter, owner);
    return true;
}

void FlowCache::erase(FlowHash flow)
{
    Bucket &bucket = bucketOf(flow.value());
    const std::size_t way = wayOf(bucket, flow.value());
    if (way < Ways) {
        bucket.flags[way] = 0;
        --flowCounts_[bucket.services[way]];
        --size_;
    }
}

std::size_t FlowCache::wayOf(const Bucket &bucket, std::uint64_t hash)
{
    for (std::size_t way = 0; way < Ways; ++way) {
        if (bucket.hashes[way] == hash && (bucket.flags[way] & Occupied) != 0) {
            return way;
        }
    }
    return Ways;
}

std::size_t FlowCache::victimOf(Bucket &bucket, std::uint16_t service)
{
    std::size_t best = Ways;
    const auto rank = [&](std::size_t way) {
        const std::uint64_t unused = (bucket.flags[way] & Used) == 0 ? 1 : 0;
        return (unused << 32) | flowCounts_[bucket.services[way]];
    };
    for (std::size_t way = 0; way < Ways; ++way) {
        if ((bucket.flags[way] & Occupied) == 0) {
            return way;
        }
        const bool isUsed = (bucket.flags[way] & Used) != 0;
        const bool hasMoreFlows = flowCounts_[bucket.services[way]] > flowCounts_[service];
        if (bucket.services[way] != service && (isUsed || !hasMoreFlows)) {
            continue;
        }
        if (best == Ways || rank(way) > rank(best)) {
            best = way;
        }
    }
    if (best < Ways && (bucket.flags[best] & Used) != 0) {
        // As in the CLOCK algorithm, the service's other entries count as used only after another access.
        for (std::size_t way = 0; way < Ways; ++way) {
            if (bucket.services[way] == service) {
                bucket.flags[way] = Occupied;
            }
        }
    }
    return best;
}

std::uint16_t FlowCache::counterIndexOf(ServiceId service) const
{
    return static_cast<std::uint16_t>(service.value() % ServiceCounters);
}

void FlowCache::write(
    Bucket &bucket, std::size_t way, std::uint64_t hash, std::uint16_t service, const CachedOwner &owner)
{
    bucket.hashes[way] = hash;
    bucket.incarnations[way] = owner.incarnation;
    bucket.targets[way] = owner.target;
    bucket.addresses[way] = owner.address;
    bucket.ports[way] = owner.port;
    bucket.services[way] = service;
    bucket.flags[way] = Occupied;
    ++flowCounts_[service];
}

void FlowCache::grow()
{
    std::vector<Bucket> old(buckets_.size() * 2);
    old.swap(buckets_);
    for (const Bucket &from : old) {
        for (std::size_t way = 0; way < Ways; ++way) {
            if ((from.flags[way] & Occupied) == 0) {
                continue;
            }
            // The entries of one bucket are divided among two buckets, so there is always a free way.
            Bucket &to = bucketOf(from.hashes[way]);
            const auto free = std::find(to.flags.begin(), to.flags.end(), 0);
            const auto index = static_cast<std::size_t>(free - to.flags.begin());
            to.hashes[index] = from.hashes[way];
            to.incarnations[index] = from.incarnations[way];
            to.targets[index] = from.targets[way];
            to.addresses[index] = from.addresses[way];
            to.ports[index] = from.ports[way];
            to.services[index] = from.services[way];
            to.flags[index] = from.flags[way];
        }
    }
}

} // namespace rhubarblane
