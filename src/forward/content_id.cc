#include "forward/content_id.h"

#include "base/hash.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxPartIdBytes = 64;
constexpr std::array<std::string_view, 3> kKindNames = {"part", "own-part", "request"};

/// Whether \a id can stand in logs and documents as it is.
bool isPlain(std::string_view id)
{
    return id.size() <= kMaxPartIdBytes
        && std::all_of(id.begin(), id.end(), [](unsigned char c) { return absl::ascii_isgraph(c); });
}

} // namespace

std::string_view contentKindName(ContentKind kind)
{
    return kKindNames.at(static_cast<std::size_t>(kind));
}

ContentKind contentKindOf(std::string_view name)
{
    const auto *const it = std::find(kKindNames.begin(), kKindNames.end(), name);
    return it == kKindNames.end() ? ContentKind::SharedPart : static_cast<ContentKind>(it - kKindNames.begin());
}

std::vector<ContentId> contentIdsOf(const ServiceId &service, const std::vector<PromptPart> &prompt, std::uint64_t hash)
{
    std::vector<ContentId> ids;
    ids.reserve(prompt.size() + 1);
    for (std::size_t i = 0; i < prompt.size(); ++i) {
        const auto &id = prompt[i].id;
        const auto kind = i + 1 < prompt.size() ? ContentKind::SharedPart : ContentKind::OwnPart;
        ids.push_back({service, isPlain(id) ? id : absl::StrCat("hash-", absl::Hex(hashBytes(id))), kind});
    }
    ids.push_back({service, absl::StrCat(absl::Hex(hash, absl::kZeroPad16)), ContentKind::Request});
    return ids;
}

} // namespace mimosahub
