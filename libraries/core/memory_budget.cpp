#include "libraries/core/memory_budget.hpp"

#include <cassert>
#include <utility>

namespace turmeric
{

namespace
{

/// The part of the limit that only small needs may use.
constexpr std::int64_t small_room_divisor = 8;

constexpr std::array<std::string_view, all_memory_kinds.size()> kind_names = {
    "connections", "reading", "requests", "calls", "responses", "pipelined"};

} // namespace

std::string_view name_of(memory_kind value)
{
    return kind_names.at(static_cast<std::size_t>(value));
}

memory_budget::memory_budget(std::int64_t limit_bytes)
    : m_limit(limit_bytes)
{
    assert(limit_bytes > 0);
}

std::int64_t memory_budget::limit_for(std::int64_t needed) const
{
    return needed <= max_small_bytes ? m_limit
                                     : m_limit - m_limit / small_room_divisor;
}

bool memory_budget::has_room(std::int64_t held, std::int64_t needed) const
{
    return needed <= held || m_used - held + needed <= limit_for(needed);
}

bool memory_budget::can_ever_hold(std::int64_t needed) const
{
    return needed <= limit_for(needed);
}

std::int64_t memory_budget::used(memory_kind kind) const
{
    return m_used_by_kind.at(static_cast<std::size_t>(kind));
}

std::int64_t memory_budget::used() const
{
    return m_used;
}

std::int64_t memory_budget::limit() const
{
    return m_limit;
}

void memory_budget::set_release_handler(std::function<void()> action)
{
    m_release_handler = std::move(action);
}

void memory_budget::add(memory_kind kind, std::int64_t bytes)
{
    m_used += bytes;
    m_used_by_kind.at(static_cast<std::size_t>(kind)) += bytes;
    assert(m_used >= 0);
    if (bytes < 0 && m_release_handler)
    {
        m_release_handler();
    }
}

memory_reservation::memory_reservation(memory_budget* budget, memory_kind kind)
    : m_budget(budget)
    , m_kind(kind)
{
}

memory_reservation::~memory_reservation()
{
    resize(0);
}

memory_reservation::memory_reservation(const memory_reservation& other)
    : m_budget(other.m_budget)
    , m_kind(other.m_kind)
{
    resize(other.m_bytes);
}

memory_reservation&
memory_reservation::operator=(const memory_reservation& other)
{
    if (this != &other)
    {
        *this = memory_reservation(other);
    }
    return *this;
}

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : m_budget(other.m_budget)
    , m_kind(other.m_kind)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

memory_reservation&
memory_reservation::operator=(memory_reservation&& other) noexcept
{
    if (this != &other)
    {
        resize(0);
        m_budget = other.m_budget;
        m_kind = other.m_kind;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool memory_reservation::try_resize(std::int64_t bytes)
{
    if (m_budget != nullptr && !m_budget->has_room(m_bytes, bytes))
    {
        return false;
    }
    resize(bytes);
    return true;
}

void memory_reservation::resize(std::int64_t bytes)
{
    assert(bytes >= 0);
    if (m_budget == nullptr || bytes == m_bytes)
    {
        return;
    }
    const std::int64_t added = bytes - m_bytes;
    m_bytes = bytes;
    m_budget->add(m_kind, added);
}

void memory_reservation::set_kind(memory_kind kind)
{
    if (m_budget != nullptr && m_bytes > 0)
    {
        m_budget->add(kind, m_bytes);
        m_budget->add(m_kind, -m_bytes);
    }
    m_kind = kind;
}

std::int64_t memory_reservation::bytes() const
{
    return m_bytes;
}

} // namespace turmeric
