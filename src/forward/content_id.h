#pragma once

#include "forward/prompt_affinity.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace mimosahub
{

/// What a content id stands for, from what most requests share to what is a request's own.
enum class ContentKind : std::uint8_t {
    SharedPart, ///< A part of prompts that other requests may share.
    OwnPart, ///< The last part of a prompt: one request's, or its session's.
    Request, ///< All that a request asks for, with a prompt or without.
};

/// "part", "own-part" or "request", in documents and the log.
[[nodiscard]] std::string_view contentKindName(ContentKind kind);
/// The kind with that name; SharedPart for any other name.
[[nodiscard]] ContentKind contentKindOf(std::string_view name);

/// Identifies content of requests to one service. What one service's endpoints can't bear
/// may be harmless to another's.
struct ContentId {
    ServiceId service;
    std::string id;
    ContentKind kind = ContentKind::SharedPart;

    friend bool operator==(const ContentId &, const ContentId &) = default;
    friend bool operator<(const ContentId &a, const ContentId &b)
    {
        return std::tie(a.service, a.id, a.kind) < std::tie(b.service, b.id, b.kind);
    }
};

/// The ids of the content of a request to \a service, from the most common to the most special
/// one: the parts of its \a prompt in order, then the whole, of which \a hash is a hash. Ids of
/// parts that are long or no plain text are replaced by a hash.
[[nodiscard]] std::vector<ContentId> contentIdsOf(const ServiceId &service, const std::vector<PromptPart> &prompt,
                                                  std::uint64_t hash);

} // namespace mimosahub
