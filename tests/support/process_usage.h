#pragma once

#include <atomic>
#include <cstddef>
#include <thread>

namespace mimosahub::testing
{

/// What a process uses at one moment.
struct ProcessUsage {
    std::size_t resident = 0; ///< Bytes of memory.
    /// Bytes that the kernel holds for its connections over IPv4: received and not read, or sent and not
    /// acknowledged. Includes connections that were not accepted yet, or are closed and not yet sent out.
    std::size_t kernel = 0;
    std::size_t descriptors = 0;

    [[nodiscard]] static ProcessUsage of(int pid);
    /// What counts against the process's memory limit, in bytes.
    [[nodiscard]] std::size_t memory() const
    {
        return resident + kernel;
    }
};

/// Bytes of memory that the process \a pid has held at most so far.
[[nodiscard]] std::size_t peakResident(int pid);

/// Looks at a process's usage again and again and keeps the peaks. A thread of its own.
class UsagePeaks
{
public:
    explicit UsagePeaks(int pid);
    ~UsagePeaks();
    UsagePeaks(const UsagePeaks &) = delete;
    UsagePeaks &operator=(const UsagePeaks &) = delete;

    /// Most bytes of resident memory and the kernel's together at one moment.
    [[nodiscard]] std::size_t memory() const
    {
        return m_memory;
    }
    /// Most bytes of the kernel at one moment.
    [[nodiscard]] std::size_t kernel() const
    {
        return m_kernel;
    }
    [[nodiscard]] std::size_t descriptors() const
    {
        return m_descriptors;
    }

private:
    void look();

    const int m_pid;
    std::atomic<std::size_t> m_memory{0};
    std::atomic<std::size_t> m_kernel{0};
    std::atomic<std::size_t> m_descriptors{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace mimosahub::testing
