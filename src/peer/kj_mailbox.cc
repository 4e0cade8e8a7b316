// A queue under a mutex and one cross-thread promise that run() waits on while
// the queue is empty. A burst of posts wakes KJ's thread once.

#include "peer/kj_mailbox.h"

#include <utility>

namespace mimosahub
{

void KjMailbox::post(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    if (m_closed) {
        return;
    }
    m_tasks.push_back(std::move(task));
    KJ_IF_MAYBE (wake, m_wake) {
        (*wake)->fulfill();
        m_wake = nullptr;
    }
}

kj::Promise<void> KjMailbox::run()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return kj::READY_NOW;
        }
        tasks.swap(m_tasks);
        if (tasks.empty()) {
            auto wait = kj::newPromiseAndCrossThreadFulfiller<void>();
            m_wake = kj::mv(wait.fulfiller);
            return wait.promise.then([this]() { return run(); });
        }
    }
    for (auto &task : tasks) {
        task();
    }
    return kj::evalLater([this]() { return run(); });
}

void KjMailbox::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_tasks.clear();
    KJ_IF_MAYBE (wake, m_wake) {
        (*wake)->fulfill();
        m_wake = nullptr;
    }
}

} // namespace mimosahub
