#pragma once

#include <compare>
#include <string>
#include <tuple>

/// Keys of the objects that operators publish.
namespace mimosahub
{

/// The kinds of object that operators publish.
enum class ObjectKind {
    Zone,
    Workspace,
    Profile,
    Service,
    Pipeline,
};

/// Identifies one published object.
struct ObjectKey {
    ObjectKind kind = ObjectKind::Zone;
    std::string name;

    friend bool operator==(const ObjectKey &, const ObjectKey &) = default;
    friend std::strong_ordering operator<=>(const ObjectKey &a, const ObjectKey &b)
    {
        return std::tie(a.kind, a.name) <=> std::tie(b.kind, b.name);
    }
};

} // namespace mimosahub
