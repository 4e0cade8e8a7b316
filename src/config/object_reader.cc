// Reading never stops at the first error: each member is checked on its own and
// each problem is appended, so that one run shows all of them. The reader notes
// the keys it was asked for, which makes the list of known keys follow the code.

#include "config/object_reader.h"

#include "base/nearest.h"
#include "config/duration.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/json.hpp>

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr std::size_t kLongestShown = 80; // bytes
constexpr std::size_t kLongestName = 64; // bytes
constexpr std::size_t kMostNamesShown = 16;

const boost::json::value kEmptyValue(boost::json::object_kind);

bool isAlphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

std::string shortened(std::string text)
{
    if (text.size() <= kLongestShown) {
        return text;
    }
    std::size_t n = kLongestShown;
    // A cut inside a UTF-8 sequence would leave an invalid one.
    while (n > 0 && (static_cast<unsigned char>(text[n]) & 0xC0U) == 0x80U) {
        --n;
    }
    text.resize(n);
    return text + "...";
}

std::string rangeText(std::string_view what, std::string_view min, std::string_view max)
{
    return absl::StrCat(absl::string_view(what.data(), what.size()), " from ",
                        absl::string_view(min.data(), min.size()), " to ", absl::string_view(max.data(), max.size()));
}

} // namespace

Place Place::member(std::string_view key) const
{
    const std::string step = isName(key) ? std::string(key) : "[" + shown(key) + "]";
    return {file, path.empty() ? step : path + "." + step};
}

Place Place::item(std::size_t index) const
{
    return {file, path + "[" + std::to_string(index) + "]"};
}

bool isName(std::string_view name)
{
    return !name.empty() && name.size() <= kLongestName && isAlphanumeric(name.front())
        && std::all_of(name.begin(), name.end(),
                       [](char c) { return isAlphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

std::string shown(const boost::json::value &value)
{
    if (const auto *number = value.if_double()) {
        return absl::StrCat(*number); // Boost.JSON would write 0.5 as 5E-1.
    }
    return shortened(boost::json::serialize(value));
}

std::string shown(std::string_view text)
{
    return shortened(boost::json::serialize(boost::json::string(text.substr(0, 2 * kLongestShown))));
}

std::string knownNames(std::string_view name, const std::vector<std::string> &known)
{
    if (known.empty()) {
        return "none is defined";
    }
    std::string text;
    if (const auto nearest = nearestName(name, known); !nearest.empty()) {
        text = absl::StrCat("\"", nearest, "\" is the nearest known");
        if (known.size() > kMostNamesShown) {
            return text;
        }
        text += "; ";
    }
    const auto n = std::min(known.size(), kMostNamesShown);
    absl::StrAppend(&text,
                    "known: ", absl::StrJoin(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(n), ", "));
    if (n < known.size()) {
        absl::StrAppend(&text, " and ", known.size() - n, " more");
    }
    return text;
}

ObjectReader::ObjectReader(const boost::json::value &value, Place place, std::vector<Problem> &problems)
    : m_object(value.if_object()), m_place(std::move(place)), m_problems(problems)
{
    if (!m_object) {
        m_problems.push_back({m_place.file, m_place.path, shown(value), "an object"});
    }
}

const boost::json::value *ObjectReader::find(std::string_view key, Presence presence, std::string_view allowed)
{
    m_known.emplace_back(key);
    if (!m_object) {
        return nullptr;
    }
    const auto *value = m_object->if_contains(key);
    if (!value && presence == Presence::Required) {
        report(key, "nothing", std::string(allowed));
    }
    return value;
}

bool ObjectReader::has(std::string_view key) const
{
    return m_object && m_object->contains(key);
}

void ObjectReader::report(std::string_view key, std::string found, std::string allowed)
{
    m_faulty.emplace_back(key);
    auto place = m_place.member(key);
    m_problems.push_back({std::move(place.file), std::move(place.path), std::move(found), std::move(allowed)});
}

bool ObjectReader::faulty(std::string_view key) const
{
    return std::find(m_faulty.begin(), m_faulty.end(), key) != m_faulty.end();
}

void ObjectReader::flag(std::string_view key, bool &out, Presence presence)
{
    constexpr std::string_view kAllowed = "true or false";
    const auto *value = find(key, presence, kAllowed);
    if (!value) {
        return;
    }
    if (const auto *flag = value->if_bool()) {
        out = *flag;
    } else {
        report(key, shown(*value), std::string(kAllowed));
    }
}

void ObjectReader::text(std::string_view key, std::string &out, Presence presence, std::string_view allowed)
{
    const auto *value = find(key, presence, allowed);
    if (!value) {
        return;
    }
    if (const auto *text = value->if_string(); text && !text->empty()) {
        out = std::string(*text);
    } else {
        report(key, shown(*value), std::string(allowed));
    }
}

void ObjectReader::readName(std::string_view key, std::string &out, Presence presence)
{
    const auto *value = find(key, presence, kNameRule);
    if (!value) {
        return;
    }
    if (const auto *text = value->if_string(); text && isName(*text)) {
        out = std::string(*text);
    } else {
        report(key, shown(*value), std::string(kNameRule));
    }
}

void ObjectReader::number(std::string_view key, double &out, Range<double> range, Presence presence)
{
    const auto allowed = rangeText("a number", absl::StrCat(range.min), absl::StrCat(range.max));
    const auto *value = find(key, presence, allowed);
    if (!value) {
        return;
    }
    if (value->is_number()) {
        const double number = value->to_number<double>();
        if (number >= range.min && number <= range.max) {
            out = number;
            return;
        }
    }
    report(key, shown(*value), allowed);
}

void ObjectReader::readInteger(std::string_view key, std::int64_t &out, Range<std::int64_t> range, Presence presence)
{
    const auto allowed = rangeText("a whole number", std::to_string(range.min), std::to_string(range.max));
    const auto *value = find(key, presence, allowed);
    if (!value) {
        return;
    }
    // The parser yields a signed integer wherever the value fits one.
    if (const auto *n = value->if_int64(); n && *n >= range.min && *n <= range.max) {
        out = *n;
    } else {
        report(key, shown(*value), allowed);
    }
}

void ObjectReader::duration(std::string_view key, Duration &out, Range<Duration> range, Presence presence)
{
    const auto allowed = rangeText("a string of a whole number and a unit (" + std::string(kDurationUnits) + ")",
                                   formatDuration(range.min), formatDuration(range.max));
    const auto *value = find(key, presence, allowed);
    if (!value) {
        return;
    }
    if (const auto *text = value->if_string()) {
        const auto duration = parseDuration(*text);
        if (duration && *duration >= range.min && *duration <= range.max) {
            out = *duration;
            return;
        }
    }
    report(key, shown(*value), allowed);
}

std::size_t ObjectReader::readChoice(std::string_view key, const std::vector<std::string> &names, Presence presence)
{
    const auto allowed = "one of " + absl::StrJoin(names, ", ");
    const auto *value = find(key, presence, allowed);
    if (!value) {
        return names.size();
    }
    const auto *text = value->if_string();
    const auto it = text ? std::find(names.begin(), names.end(), std::string_view(*text)) : names.end();
    if (it == names.end()) {
        report(key, shown(*value), allowed);
    }
    return static_cast<std::size_t>(it - names.begin());
}

ObjectReader ObjectReader::object(std::string_view key)
{
    const auto *value = find(key, Presence::Optional, "an object");
    return {value ? *value : kEmptyValue, m_place.member(key), m_problems};
}

void ObjectReader::members(std::string_view key, const MemberFunction &function, Presence presence)
{
    const auto *value = find(key, presence, "an object");
    if (!value) {
        return;
    }
    const auto *object = value->if_object();
    if (!object) {
        report(key, shown(*value), "an object");
        return;
    }
    const Place place = m_place.member(key);
    for (const auto &member : *object) {
        function(member.key(), member.value(), place.member(member.key()));
    }
}

void ObjectReader::items(std::string_view key, const ItemFunction &function, Presence presence)
{
    const auto *value = find(key, presence, "an array");
    if (!value) {
        return;
    }
    const auto *array = value->if_array();
    if (!array) {
        report(key, shown(*value), "an array");
        return;
    }
    const Place place = m_place.member(key);
    for (std::size_t i = 0; i < array->size(); ++i) {
        function((*array)[i], place.item(i));
    }
}

void ObjectReader::finish()
{
    if (!m_object) {
        return;
    }
    for (const auto &member : *m_object) {
        if (std::find(m_known.begin(), m_known.end(), std::string_view(member.key())) == m_known.end()) {
            report(member.key(), "an unknown key", knownNames(member.key(), m_known));
        }
    }
}

} // namespace mimosahub
