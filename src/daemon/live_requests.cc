// A request registers itself for as long as it exists, so the count also covers
// keyed calls that settle after their caller has left.

#include "daemon/live_requests.h"

#include "daemon/request_runner.h"

#include <vector>

namespace mimosahub
{

void LiveRequests::add(RequestRunner &runner)
{
    m_runners.insert(&runner);
    ++m_count;
}

void LiveRequests::remove(RequestRunner &runner)
{
    m_runners.erase(&runner);
    --m_count;
}

void LiveRequests::stopBefore(TimePoint lastMoment)
{
    m_lastMoment = lastMoment;
    // A request that ends here removes itself from the set.
    std::vector<std::shared_ptr<RequestRunner>> runners;
    runners.reserve(m_runners.size());
    for (auto *it : m_runners) {
        if (auto runner = it->weak_from_this().lock()) {
            runners.push_back(std::move(runner));
        }
    }
    for (const auto &it : runners) {
        it->stopBefore(lastMoment);
    }
}

} // namespace mimosahub
