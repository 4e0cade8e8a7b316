#pragma once

#include "http/memory_account.h"

#include <boost/json/memory_resource.hpp>

namespace mimosahub::http
{

/// Memory of a JSON document, which may take many times the bytes of its text. Throws std::bad_alloc if the
/// account has no room, which ends the parse.
class AccountedMemory : public boost::json::memory_resource
{
public:
    /// \a account must outlive this object.
    explicit AccountedMemory(MemoryAccount &account) : m_hold(account, MemoryUse::Request, nullptr)
    {
    }

private:
    void *do_allocate(std::size_t bytes, std::size_t alignment) override;
    void do_deallocate(void *block, std::size_t bytes, std::size_t alignment) override;
    [[nodiscard]] bool do_is_equal(const boost::json::memory_resource &other) const noexcept override
    {
        return this == &other;
    }

    MemoryHold m_hold;
};

} // namespace mimosahub::http
