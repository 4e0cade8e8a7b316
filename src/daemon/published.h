#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace mimosahub
{

/// Hands immutable values from the control thread to traffic threads. A reader
/// keeps the value that it loaded for as long as it needs it.
template<typename T>
class Published
{
public:
    explicit Published(std::shared_ptr<const T> value) : m_value(std::move(value))
    {
    }

    /// The newest value.
    [[nodiscard]] std::shared_ptr<const T> load() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }
    /// Replaces the value; the old one lives on in its readers.
    void store(std::shared_ptr<const T> value)
    {
        const std::lock_guard lock(m_mutex);
        m_value.swap(value);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
};

} // namespace mimosahub
