#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace mimosahub
{

/// What a traffic thread learned of an endpoint from one call.
struct CallFeedback {
    EndpointId endpoint;
    ServiceId service;
    VersionId version;
    ZoneId zone; ///< Of the endpoint.
    std::string caller; ///< Pipeline and stage, or call of a plain service.
    bool ok = false; ///< The answer was whole and no fault of the endpoint.
    Duration latency{}; ///< From send to the whole answer, or to the failure.
};

/// Carries feedback from traffic threads to the control thread.
class FeedbackQueue
{
public:
    /// Adds \a feedback. Any thread.
    void push(CallFeedback feedback)
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back(std::move(feedback));
    }
    /// Takes out all that was added.
    [[nodiscard]] std::vector<CallFeedback> takeAll()
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_items, {});
    }

private:
    std::mutex m_mutex;
    std::vector<CallFeedback> m_items;
};

} // namespace mimosahub
