#pragma once

#include <kj/async.h>

#include <functional>
#include <mutex>
#include <vector>

namespace mimosahub
{

/// Queue of functions that other threads post to KJ's thread without waiting for it.
/// (KJ's own Executor makes the caller wait, or run a KJ event loop too.)
class KjMailbox
{
public:
    /// Queues \a task to run on KJ's thread, in order. Tasks posted after close() are
    /// dropped. Any thread.
    void post(std::function<void()> task);

    /// Runs tasks until close(); KJ's thread only.
    kj::Promise<void> run();
    /// Ends run() and drops queued and later tasks. Any thread.
    void close();

private:
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks;
    kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> m_wake; ///< Set while run() waits.
    bool m_closed = false;
};

} // namespace mimosahub
