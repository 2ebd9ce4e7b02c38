#ifndef RHUBARBLANE_BASE_STRONGID_H
#define RHUBARBLANE_BASE_STRONGID_H

#include <cstdint>
#include <functional>

namespace rhubarblane
{

/** An integer with a distinct type per tag, so that ids of different kinds cannot be mixed up. */
template<typename Tag, typename Rep = std::uint64_t>
class StrongId
{
public:
    constexpr StrongId() = default;
    constexpr explicit StrongId(Rep value)
        : value_(value)
    {
    }

    constexpr Rep value() const
    {
        return value_;
    }

    friend constexpr bool operator==(StrongId a, StrongId b)
    {
        return a.value_ == b.value_;
    }
    friend constexpr bool operator!=(StrongId a, StrongId b)
    {
        return a.value_ != b.value_;
    }
    friend constexpr bool operator<(StrongId a, StrongId b)
    {
        return a.value_ < b.value_;
    }
    friend constexpr bool operator<=(StrongId a, StrongId b)
    {
        return a.value_ <= b.value_;
    }

private:
    Rep value_ = 0;
};

} // namespace rhubarblane

template<typename Tag, typename Rep>
struct std::hash<rhubarblane::StrongId<Tag, Rep>> {
    std::size_t operator()(rhubarblane::StrongId<Tag, Rep> id) const noexcept
    {
        return std::hash<Rep>()(id.value());
    }
};

#endif
