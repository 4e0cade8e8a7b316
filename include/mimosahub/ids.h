#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

/// Strong types for identifiers and ordinals, so that the compiler rejects a
/// workspace id where an endpoint id is expected.
namespace mimosahub
{

/// An identifier of one kind of object. \a Tag only distinguishes the kinds.
template<typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value) : m_value(std::move(value))
    {
    }
    explicit Id(std::string_view value) : m_value(value)
    {
    }
    explicit Id(const char *value) : m_value(value)
    {
    }

    [[nodiscard]] const std::string &str() const
    {
        return m_value;
    }
    [[nodiscard]] bool empty() const
    {
        return m_value.empty();
    }

    friend bool operator==(const Id &, const Id &) = default;
    friend std::strong_ordering operator<=>(const Id &a, const Id &b)
    {
        return a.m_value <=> b.m_value;
    }
    friend std::ostream &operator<<(std::ostream &out, const Id &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

/// An unsigned integer of one kind, which can be compared and incremented but not mixed with other kinds.
template<typename Tag>
class Ordinal
{
public:
    constexpr Ordinal() = default;
    constexpr explicit Ordinal(std::uint64_t value) : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return m_value;
    }
    [[nodiscard]] constexpr Ordinal next() const
    {
        return Ordinal(m_value + 1);
    }

    friend constexpr bool operator==(const Ordinal &, const Ordinal &) = default;
    friend constexpr std::strong_ordering operator<=>(const Ordinal &a, const Ordinal &b)
    {
        return a.m_value <=> b.m_value;
    }
    friend std::ostream &operator<<(std::ostream &out, const Ordinal &ordinal)
    {
        return out << ordinal.m_value;
    }

private:
    std::uint64_t m_value = 0;
};

using InstanceId = Id<struct InstanceTag>; ///< A daemon's name from its settings, which it keeps over restarts.
using ZoneId = Id<struct ZoneTag>; ///< An availability zone.
using RegionId = Id<struct RegionTag>; ///< A group of availability zones.
using WorkspaceId = Id<struct WorkspaceTag>; ///< A customer that shares the pool.
using ServiceId = Id<struct ServiceTag>; ///< A group of endpoints that serve the same operations.
using EndpointId = Id<struct EndpointTag>; ///< One server of a service.
using PipelineId = Id<struct PipelineTag>; ///< A named sequence of stages.
using StageId = Id<struct StageTag>; ///< One step of a pipeline.
using ProfileId = Id<struct ProfileTag>; ///< A named set of share, deadline and traffic rules.
using VersionId = Id<struct VersionTag>; ///< A version that an endpoint runs.
using RequestId = Id<struct RequestTag>; ///< One caller's request.
using AttemptId = Id<struct AttemptTag>; ///< One attempt to run one stage of one request.
using IdempotencyKey = Id<struct IdempotencyKeyTag>; ///< A caller's key for a call that must run at most once.
using LeaseName = Id<struct LeaseTag>; ///< Resource that a lease in the log covers, such as "orders/ENDPOINT".

using Offset = Ordinal<struct OffsetTag>; ///< Position of a record in the platform's log; the first record is at 1.
using Incarnation = Ordinal<struct IncarnationTag>; ///< Increases each time an instance's daemon starts.
using Sequence = Ordinal<struct SequenceTag>; ///< Number of an append within one incarnation, from 1.
using FencingNumber = Ordinal<struct FencingTag>; ///< Offset at which a lease was granted; increases with each holder.

} // namespace mimosahub

template<typename Tag>
struct std::hash<mimosahub::Id<Tag>> {
    std::size_t operator()(const mimosahub::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};

template<typename Tag>
struct std::hash<mimosahub::Ordinal<Tag>> {
    std::size_t operator()(const mimosahub::Ordinal<Tag> &ordinal) const noexcept
    {
        return std::hash<std::uint64_t>()(ordinal.value());
    }
};
