// Decoding is Boost.Locale's, of which only this header is used. A faulty sequence
// is given up at its first byte, so that no valid character after it is lost.

#include "base/utf8.h"

#include <boost/locale/utf.hpp>

namespace mimosahub
{

namespace
{

using Traits = boost::locale::utf::utf_traits<char>;

constexpr std::string_view kReplacement = "\xEF\xBF\xBD";

} // namespace

std::string validUtf8(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    const auto *at = text.data();
    const auto *const end = at + text.size();
    while (at != end) {
        const auto *next = at;
        const auto code = Traits::decode(next, end);
        if (code == boost::locale::utf::illegal || code == boost::locale::utf::incomplete) {
            result += kReplacement;
            ++at;
        } else {
            result.append(at, next);
            at = next;
        }
    }
    return result;
}

} // namespace mimosahub
