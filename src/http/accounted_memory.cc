#include "http/accounted_memory.h"

#include <new>

namespace mimosahub::http
{

void *AccountedMemory::do_allocate(std::size_t bytes, std::size_t alignment)
{
    if (!m_hold.grow(bytes)) {
        throw std::bad_alloc();
    }
    return ::operator new(bytes, std::align_val_t(alignment));
}

void AccountedMemory::do_deallocate(void *block, std::size_t bytes, std::size_t alignment)
{
    ::operator delete(block, std::align_val_t(alignment));
    m_hold.shrinkTo(m_hold.bytes() - bytes);
}

} // namespace mimosahub::http
