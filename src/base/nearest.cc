// Levenshtein distance with one row of the table. Names are short, so that the
// quadratic cost is small; a longer text is near nothing and isn't compared.

#include "base/nearest.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace mimosahub
{

namespace
{

constexpr std::size_t kLongestName = 64;

} // namespace

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row[b.size()];
}

std::string nearestName(std::string_view name, std::span<const std::string> candidates)
{
    if (name.size() > kLongestName) {
        return {};
    }
    std::string nearest;
    // Beyond half of its letters a name is another word rather than a slip.
    std::size_t best = name.size() / 2 + 1;
    for (const auto &candidate : candidates) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace mimosahub
