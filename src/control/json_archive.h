#pragma once

#include "mimosahub/body_digest.h"
#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/error.h"
#include "mimosahub/ids.h"
#include "mimosahub/object_key.h"
#include "mimosahub/record.h"

#include <absl/status/status.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Typed values to and from JSON objects. A type names its fields once, in
/// `template<class Archive> void describe(Archive &archive, T &value)`, and both
/// directions follow from it.
namespace mimosahub
{

/// Names of an enumeration's values, in their order; specialised for each one in the log.
template<typename Enum>
struct EnumNames;

template<>
struct EnumNames<ObjectKind> {
    static constexpr std::array<std::string_view, 5> names = {"zone", "workspace", "profile", "service", "pipeline"};
};
template<>
struct EnumNames<RollbackReason> {
    static constexpr std::array<std::string_view, 2> names = {"failures", "slowness"};
};
template<>
struct EnumNames<EndpointAction> {
    static constexpr std::array<std::string_view, 3> names = {"load-model", "load-adapter", "change-role"};
};
template<>
struct EnumNames<Outcome> {
    static constexpr std::array<std::string_view, 4> names = {"ok", "failed", "not-run", "unknown"};
};

/// Name of \a value in the log.
template<typename Enum>
[[nodiscard]] std::string_view enumName(Enum value)
{
    return EnumNames<Enum>::names.at(static_cast<std::size_t>(value));
}

/// Writes the fields of one JSON object.
class JsonWriter
{
public:
    static constexpr bool kReading = false;

    /// Adds \a value as \a name. Absent optional values are left out; the limit
    /// binds readers only.
    template<typename T>
    void field(std::string_view name, const T &value, std::size_t /*limit*/ = 0)
    {
        m_object.emplace(boost::json::string_view(name.data(), name.size()), toJson(value));
    }
    template<typename T>
    void field(std::string_view name, const std::optional<T> &value, std::size_t limit = 0)
    {
        if (value) {
            field(name, *value, limit);
        }
    }
    /// Adds the fields of \a value to this object.
    template<typename T>
    void fields(const T &value)
    {
        // describe() serves readers too and so takes a mutable value.
        describe(*this, const_cast<T &>(value));
    }
    [[nodiscard]] boost::json::object take()
    {
        return std::move(m_object);
    }

    template<typename T>
    [[nodiscard]] static boost::json::value toJson(const T &value)
    {
        if constexpr (std::is_enum_v<T>) {
            return boost::json::string(enumName(value));
        } else if constexpr (std::is_arithmetic_v<T>) {
            return value;
        } else {
            JsonWriter writer;
            writer.fields(value);
            return writer.take();
        }
    }
    [[nodiscard]] static boost::json::value toJson(const std::string &value)
    {
        return boost::json::string(value);
    }
    template<typename Tag>
    [[nodiscard]] static boost::json::value toJson(const Id<Tag> &value)
    {
        return boost::json::string(value.str());
    }
    template<typename Tag>
    [[nodiscard]] static boost::json::value toJson(const Ordinal<Tag> &value)
    {
        return value.value();
    }
    [[nodiscard]] static boost::json::value toJson(const WallTime &value)
    {
        return value.time_since_epoch().count();
    }
    [[nodiscard]] static boost::json::value toJson(const std::chrono::milliseconds &value)
    {
        return value.count();
    }
    [[nodiscard]] static boost::json::value toJson(const RecordedDigest &value)
    {
        return value.whole() ? toJson(hexText(*value.whole())) : boost::json::value(value.folded());
    }
    template<typename T>
    [[nodiscard]] static boost::json::value toJson(const std::vector<T> &values)
    {
        boost::json::array array;
        array.reserve(values.size());
        for (const auto &it : values) {
            array.push_back(toJson(it));
        }
        return array;
    }
    template<typename Key, typename T>
    [[nodiscard]] static boost::json::value toJson(const std::map<Key, T> &values)
    {
        boost::json::array array;
        array.reserve(values.size());
        for (const auto &[key, value] : values) {
            array.push_back(boost::json::array{toJson(key), toJson(value)});
        }
        return array;
    }

private:
    boost::json::object m_object;
};

/// Reads the fields of one JSON object and checks each type and bound. The
/// first error stays; fields after it are left as they were.
class JsonReader
{
public:
    static constexpr bool kReading = true;

    explicit JsonReader(const boost::json::value &value)
    {
        m_object = value.if_object();
        if (!m_object) {
            fail("", "must be an object");
        }
    }

    /// Reads \a name into \a value; text longer than \a limit bytes is an error.
    template<typename T>
    void field(std::string_view name, T &value, std::size_t limit = kMaxNameBytes)
    {
        if (const auto *it = find(name)) {
            read(name, *it, value, limit);
        } else if (m_status.ok()) {
            fail(name, "is missing");
        }
    }
    template<typename T>
    void field(std::string_view name, std::optional<T> &value, std::size_t limit = kMaxNameBytes)
    {
        value.reset();
        if (const auto *it = find(name)) {
            read(name, *it, value.emplace(), limit);
        }
    }
    /// Reads the fields of \a value from this object.
    template<typename T>
    void fields(T &value)
    {
        describe(*this, value);
    }
    /// The first error, or one for a field that nobody asked for: two programs
    /// that disagree on the fields must not fold one record to two states.
    [[nodiscard]] absl::Status finish()
    {
        if (m_status.ok() && m_object->size() != m_fieldsRead) {
            fail("", "has unknown fields");
        }
        return m_status;
    }
    /// Records an error unless there is one already.
    void fail(std::string_view name, std::string_view message,
              absl::StatusCode code = absl::StatusCode::kInvalidArgument)
    {
        if (m_status.ok()) {
            m_status = errorAt(code, Step::Parse, "", std::string(name) + " " + std::string(message));
        }
    }

private:
    const boost::json::value *find(std::string_view name)
    {
        if (!m_status.ok()) {
            return nullptr;
        }
        const auto *it = m_object->if_contains(boost::json::string_view(name.data(), name.size()));
        m_fieldsRead += it ? 1 : 0;
        return it;
    }

    template<typename T>
    void read(std::string_view name, const boost::json::value &json, T &value, std::size_t limit)
    {
        if constexpr (std::is_enum_v<T>) {
            readEnum(name, json, value);
        } else if constexpr (std::integral<T>) {
            readInteger(name, json, value);
        } else {
            JsonReader reader(json);
            reader.fields(value);
            forward(name, reader.finish());
        }
        (void)limit;
    }
    void read(std::string_view name, const boost::json::value &json, bool &value, std::size_t /*limit*/)
    {
        if (const auto *it = json.if_bool()) {
            value = *it;
        } else {
            fail(name, "must be true or false");
        }
    }
    void read(std::string_view name, const boost::json::value &json, std::string &value, std::size_t limit)
    {
        const auto *it = json.if_string();
        if (!it) {
            fail(name, "must be a string");
        } else if (it->size() > limit) {
            fail(name, "is too long", absl::StatusCode::kResourceExhausted);
        } else {
            value.assign(it->data(), it->size());
        }
    }
    template<typename Tag>
    void read(std::string_view name, const boost::json::value &json, Id<Tag> &value, std::size_t limit)
    {
        std::string text;
        read(name, json, text, limit);
        value = Id<Tag>(std::move(text));
    }
    template<typename Tag>
    void read(std::string_view name, const boost::json::value &json, Ordinal<Tag> &value, std::size_t /*limit*/)
    {
        std::uint64_t n = 0;
        readInteger(name, json, n);
        value = Ordinal<Tag>(n);
    }
    void read(std::string_view name, const boost::json::value &json, WallTime &value, std::size_t /*limit*/)
    {
        std::int64_t n = 0;
        readInteger(name, json, n);
        // Within this bound no sum or conversion of times overflows.
        constexpr std::int64_t kMaxMilliseconds = std::int64_t(1) << 53;
        if (n < 0 || n > kMaxMilliseconds) {
            fail(name, "is no time");
        } else {
            value = WallTime(std::chrono::milliseconds(n));
        }
    }
    void read(std::string_view name, const boost::json::value &json, std::chrono::milliseconds &value,
              std::size_t /*limit*/)
    {
        std::int64_t n = 0;
        readInteger(name, json, n);
        value = std::chrono::milliseconds(n);
    }
    /// A whole digest is text; a number is one of format version 1.
    void read(std::string_view name, const boost::json::value &json, RecordedDigest &value, std::size_t limit)
    {
        if (!json.is_string()) {
            std::uint64_t folded = 0;
            readInteger(name, json, folded);
            value = RecordedDigest(folded);
            return;
        }
        std::string text;
        read(name, json, text, limit);
        if (const auto digest = parseHexText(text)) {
            value = RecordedDigest(*digest);
        } else {
            fail(name, "must be 32 hexadecimal digits in lower case");
        }
    }
    template<typename T>
    void read(std::string_view name, const boost::json::value &json, std::vector<T> &values, std::size_t limit)
    {
        const auto *array = json.if_array();
        if (!array) {
            fail(name, "must be an array");
            return;
        }
        for (const auto &it : *array) {
            read(name, it, values.emplace_back(), limit);
        }
    }
    template<typename Key, typename T>
    void read(std::string_view name, const boost::json::value &json, std::map<Key, T> &values, std::size_t limit)
    {
        const auto *array = json.if_array();
        if (!array) {
            fail(name, "must be an array");
            return;
        }
        for (const auto &it : *array) {
            const auto *pair = it.if_array();
            if (!pair || pair->size() != 2) {
                fail(name, "must hold pairs");
                return;
            }
            Key key;
            T value;
            read(name, (*pair)[0], key, limit);
            read(name, (*pair)[1], value, limit);
            values.insert_or_assign(std::move(key), std::move(value));
        }
    }

    template<typename T>
    void readInteger(std::string_view name, const boost::json::value &json, T &value)
    {
        if (const auto *it = json.if_int64(); it && std::in_range<T>(*it)) {
            value = static_cast<T>(*it);
        } else if (const auto *big = json.if_uint64(); big && std::in_range<T>(*big)) {
            value = static_cast<T>(*big);
        } else {
            fail(name, "must be a whole number in range");
        }
    }
    template<typename Enum>
    void readEnum(std::string_view name, const boost::json::value &json, Enum &value)
    {
        std::string text;
        read(name, json, text, kMaxNameBytes);
        const auto &names = EnumNames<Enum>::names;
        const auto it = std::find(names.begin(), names.end(), text);
        if (it == names.end()) {
            fail(name, "has an unknown value");
        } else {
            value = static_cast<Enum>(it - names.begin());
        }
    }
    void forward(std::string_view name, const absl::Status &status)
    {
        if (!status.ok()) {
            fail(name, std::string(status.message()), status.code());
        }
    }

    const boost::json::object *m_object = nullptr;
    std::size_t m_fieldsRead = 0;
    absl::Status m_status;
};

/// Parses \a text as one JSON value; InvalidArgument if it is damaged.
[[nodiscard]] absl::StatusOr<boost::json::value> parseJson(std::string_view text);

template<class Archive>
void describe(Archive &archive, ObjectKey &it)
{
    archive.field("kind", it.kind);
    archive.field("name", it.name);
}

template<class Archive>
void describe(Archive &archive, RecordPosition &it)
{
    archive.field("at", it.offset);
    archive.field("n", it.index);
}

template<class Archive>
void describe(Archive &archive, Address &it)
{
    archive.field("host", it.host);
    archive.field("port", it.port);
}

} // namespace mimosahub
