#pragma once

#include "control/decision.h"
#include "mimosahub/configuration.h"

#include <absl/status/status.h>
#include <boost/json/value.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mimosahub
{

/// One published object.
struct PublishedObject {
    Offset version; ///< Offset of its last accepted change.
    std::string operatorName; ///< The operator that made this change.
    std::string spec; ///< JSON text, byte for byte as published.

    friend bool operator==(const PublishedObject &, const PublishedObject &) = default;
};

/// The published objects and the configuration built from them. A publish is
/// atomic: it is accepted if no object named in it has changed since its base
/// and the configuration stays valid; otherwise it changes nothing.
class ObjectTable
{
public:
    static constexpr std::size_t kMaxObjects = 65536;
    static constexpr std::size_t kMaxTotalSpecBytes = std::size_t(32) * 1024 * 1024;

    Decision apply(const Publish &publish, const RecordContext &context);

    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const
    {
        return m_configuration;
    }
    [[nodiscard]] const std::map<ObjectKey, PublishedObject> &objects() const
    {
        return m_objects;
    }
    /// Offset of the last change of \a object, which the next change must name as its
    /// base; none if it doesn't exist.
    [[nodiscard]] std::optional<Offset> versionOf(const ObjectKey &object) const;
    /// Rebuilds the configuration after the objects were read from a snapshot.
    [[nodiscard]] absl::Status rebuild();

    template<class Archive>
    friend void describe(Archive &archive, ObjectTable &it)
    {
        archive.field("objects", it.m_objects);
    }
    friend bool operator==(const ObjectTable &a, const ObjectTable &b)
    {
        return a.m_objects == b.m_objects;
    }

private:
    using Values = std::map<ObjectKey, boost::json::value>;

    [[nodiscard]] Decision checkBases(const Publish &publish) const;
    [[nodiscard]] Decision checkSize(const Publish &publish) const;

    std::map<ObjectKey, PublishedObject> m_objects;
    // Derived from m_objects.
    Values m_values;
    std::size_t m_specBytes = 0;
    std::shared_ptr<const Configuration> m_configuration = std::make_shared<Configuration>();
};

template<class Archive>
void describe(Archive &archive, PublishedObject &it)
{
    archive.field("version", it.version);
    archive.field("operator", it.operatorName);
    archive.field("spec", it.spec, kMaxSpecBytes);
}

} // namespace mimosahub
