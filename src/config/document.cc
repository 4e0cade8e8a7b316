// Boost.JSON keeps the last of several equal keys and says nothing, which would
// hide a pasted line that overrides another. A first pass with its event parser
// therefore looks for repeated keys before the values are built.

#include "config/document.h"

#include "config/object_reader.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace mimosahub
{

namespace
{

constexpr std::size_t kDeepestNesting = 32;

boost::json::parse_options parseOptions()
{
    boost::json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    options.max_depth = kDeepestNesting;
    return options;
}

// Notes each key that its object has already. Only keys are handled; the other
// events of the parser need no work. Names are set by Boost.JSON.
class RepeatedKeys
{
public:
    static constexpr std::size_t max_object_size = SIZE_MAX;
    static constexpr std::size_t max_array_size = SIZE_MAX;
    static constexpr std::size_t max_key_size = SIZE_MAX;
    static constexpr std::size_t max_string_size = SIZE_MAX;

    using Code = boost::json::error_code;
    using View = boost::json::string_view;

    // NOLINTBEGIN(readability-identifier-naming): the parser calls these by name.
    bool on_object_begin(Code & /*ec*/)
    {
        m_keys.emplace_back();
        return true;
    }
    bool on_object_end(std::size_t /*n*/, Code & /*ec*/)
    {
        m_keys.pop_back();
        return true;
    }
    bool on_key_part(View part, std::size_t /*n*/, Code & /*ec*/)
    {
        m_key.append(part.data(), part.size());
        return true;
    }
    bool on_key(View part, std::size_t /*n*/, Code & /*ec*/)
    {
        m_key.append(part.data(), part.size());
        if (!m_keys.back().insert(m_key).second) {
            repeated.push_back(m_key);
        }
        m_key.clear();
        return true;
    }
    bool on_document_begin(Code & /*ec*/)
    {
        return true;
    }
    bool on_document_end(Code & /*ec*/)
    {
        return true;
    }
    bool on_array_begin(Code & /*ec*/)
    {
        return true;
    }
    bool on_array_end(std::size_t /*n*/, Code & /*ec*/)
    {
        return true;
    }
    bool on_string_part(View /*part*/, std::size_t /*n*/, Code & /*ec*/)
    {
        return true;
    }
    bool on_string(View /*part*/, std::size_t /*n*/, Code & /*ec*/)
    {
        return true;
    }
    bool on_number_part(View /*part*/, Code & /*ec*/)
    {
        return true;
    }
    bool on_int64(std::int64_t /*value*/, View /*part*/, Code & /*ec*/)
    {
        return true;
    }
    bool on_uint64(std::uint64_t /*value*/, View /*part*/, Code & /*ec*/)
    {
        return true;
    }
    bool on_double(double /*value*/, View /*part*/, Code & /*ec*/)
    {
        return true;
    }
    bool on_bool(bool /*value*/, Code & /*ec*/)
    {
        return true;
    }
    bool on_null(Code & /*ec*/)
    {
        return true;
    }
    bool on_comment_part(View /*part*/, Code & /*ec*/)
    {
        return true;
    }
    bool on_comment(View /*part*/, Code & /*ec*/)
    {
        return true;
    }
    // NOLINTEND(readability-identifier-naming)

    std::vector<std::string> repeated;

private:
    std::vector<std::set<std::string>> m_keys; // Of each object that is open.
    std::string m_key;
};

// "line 3, column 7" of byte \a at.
std::string positionOf(std::string_view text, std::size_t at)
{
    const auto before = text.substr(0, std::min(at, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto lineStart = before.rfind('\n');
    const auto column = before.size() - (lineStart == std::string_view::npos ? 0 : lineStart + 1) + 1;
    return absl::StrCat("line ", line, ", column ", column);
}

} // namespace

Checked<boost::json::value> parseDocument(std::string_view file, std::string_view text)
{
    std::vector<Problem> problems;
    if (text.size() > kLargestDocument) {
        problems.push_back({std::string(file), "", absl::StrCat(text.size(), " bytes"),
                            absl::StrCat("at most ", kLargestDocument, " bytes")});
        return Checked<boost::json::value>(std::move(problems));
    }
    boost::json::basic_parser<RepeatedKeys> scanner(parseOptions());
    boost::json::error_code ec;
    const std::size_t n = scanner.write_some(false, text.data(), text.size(), ec);
    if (!ec && n < text.size()) {
        ec = boost::json::error::extra_data;
    }
    if (ec) {
        problems.push_back({std::string(file), positionOf(text, n), ec.message(),
                            "JSON, with comments and trailing commas, nested at most 32 deep"});
        return Checked<boost::json::value>(std::move(problems));
    }
    for (const auto &key : scanner.handler().repeated) {
        problems.push_back({std::string(file), shown(key), "the key twice in one object", "each key once"});
    }
    return {boost::json::parse(text, {}, parseOptions()), std::move(problems)};
}

Checked<std::string> readTextFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        return Checked<std::string>({{path, "", "no readable file", "a readable file that is not empty"}});
    }
    return {text.str(), {}};
}

} // namespace mimosahub
