#pragma once

#include "config/problem.h"
#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <boost/json/value.hpp>

#include <concepts>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahub
{

/// Whether a key may be left out; what is left out keeps its default.
enum class Presence {
    Optional,
    Required,
};

/// Closed interval of allowed values.
template<typename T>
struct Range {
    T min;
    T max;
};

/// One word that may stand for a value of an enumeration.
template<typename E>
struct Word {
    std::string_view name;
    E value;
};

/// The position of a value: its file and its path in the document.
struct Place {
    std::string file;
    std::string path;

    /// The position of the member \a key.
    [[nodiscard]] Place member(std::string_view key) const;
    /// The position of the item \a index of an array.
    [[nodiscard]] Place item(std::size_t index) const;
};

/// What a name of an object may be, as shown to users.
inline constexpr std::string_view kNameRule =
    "a name of 1 to 64 letters, digits, '.', '_' or '-', a letter or digit first";

/// Whether \a name may name an object.
[[nodiscard]] bool isName(std::string_view name);

/// \a value as shown in a problem: JSON text, shortened.
[[nodiscard]] std::string shown(const boost::json::value &value);
/// \a text as shown in a problem: quoted and shortened.
[[nodiscard]] std::string shown(std::string_view text);
/// "unknown name" with the nearest of \a known, then all of them if they are few.
[[nodiscard]] std::string knownNames(std::string_view name, const std::vector<std::string> &known);

/// Reads the members of one JSON object into variables and appends a problem
/// for each that is missing, of another type, or out of range. A variable
/// changes only if its member is right. Call finish() last: it reports the keys
/// that no call asked for.
class ObjectReader
{
public:
    using MemberFunction =
        std::function<void(std::string_view key, const boost::json::value &value, const Place &place)>;
    using ItemFunction = std::function<void(const boost::json::value &value, const Place &place)>;

    /// \a value and \a problems must outlive the reader.
    ObjectReader(const boost::json::value &value, Place place, std::vector<Problem> &problems);

    void flag(std::string_view key, bool &out, Presence presence = Presence::Optional);
    void text(std::string_view key, std::string &out, Presence presence = Presence::Optional,
              std::string_view allowed = "a string that is not empty");
    void number(std::string_view key, double &out, Range<double> range, Presence presence = Presence::Optional);
    void duration(std::string_view key, Duration &out, Range<Duration> range, Presence presence = Presence::Optional);

    template<std::integral T>
    void integer(std::string_view key, T &out, Range<T> range, Presence presence = Presence::Optional)
    {
        std::int64_t wide = static_cast<std::int64_t>(out);
        readInteger(key, wide, {static_cast<std::int64_t>(range.min), static_cast<std::int64_t>(range.max)}, presence);
        out = static_cast<T>(wide);
    }
    /// Reads a name.
    template<typename Tag>
    void id(std::string_view key, Id<Tag> &out, Presence presence = Presence::Optional)
    {
        std::string name;
        readName(key, name, presence);
        if (!name.empty()) {
            out = Id<Tag>(std::move(name));
        }
    }
    /// Reads one of \a words.
    template<typename E>
    void choice(std::string_view key, E &out, std::span<const Word<E>> words, Presence presence = Presence::Optional)
    {
        std::vector<std::string> names;
        for (const auto &word : words) {
            names.emplace_back(word.name);
        }
        if (const auto index = readChoice(key, names, presence); index < words.size()) {
            out = words[index].value;
        }
    }

    /// A reader of the member \a key; an absent member reads as an empty object.
    [[nodiscard]] ObjectReader object(std::string_view key);
    /// Calls \a function for each member of the object \a key.
    void members(std::string_view key, const MemberFunction &function, Presence presence = Presence::Optional);
    /// Calls \a function for each item of the array \a key.
    void items(std::string_view key, const ItemFunction &function, Presence presence = Presence::Optional);

    /// Appends a problem with the member \a key.
    void report(std::string_view key, std::string found, std::string allowed);
    /// Whether the object has the member \a key.
    [[nodiscard]] bool has(std::string_view key) const;
    /// Whether a problem with the member \a key was reported. A relation between
    /// members is worth checking only if none of them is faulty.
    [[nodiscard]] bool faulty(std::string_view key) const;
    [[nodiscard]] const Place &place() const
    {
        return m_place;
    }
    /// Reports the keys that no call asked for.
    void finish();

private:
    [[nodiscard]] const boost::json::value *find(std::string_view key, Presence presence, std::string_view allowed);
    void readInteger(std::string_view key, std::int64_t &out, Range<std::int64_t> range, Presence presence);
    void readName(std::string_view key, std::string &out, Presence presence);
    std::size_t readChoice(std::string_view key, const std::vector<std::string> &names, Presence presence);

    const boost::json::object *m_object; // Null if the value is not an object, which is then reported once.
    Place m_place;
    std::vector<Problem> &m_problems;
    std::vector<std::string> m_known;
    std::vector<std::string> m_faulty;
};

} // namespace mimosahub
