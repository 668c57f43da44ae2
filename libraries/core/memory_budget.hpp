#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace turmeric
{

/// What the bytes of a memory budget are used for.
enum class memory_kind : std::uint8_t
{
    /// Buffers of callers' connections.
    connections,
    /// Bodies of requests that are being received.
    reading,
    /// Bodies of requests in flight.
    requests,
    /// Heads of calls that are not yet sent.
    calls,
    /// Bodies of responses that are held until they are complete, and bytes
    /// that callers have not yet read.
    responses,
    /// Heads of requests, and requests that callers sent before the response
    /// to the previous one.
    pipelined,
};

inline constexpr std::array all_memory_kinds = {
    memory_kind::connections, memory_kind::reading,   memory_kind::requests,
    memory_kind::calls,       memory_kind::responses, memory_kind::pipelined,
};

/// Returns the kind's name. Thread safe.
[[nodiscard]] std::string_view name_of(memory_kind value);

/// Counts the bytes that the traffic of one process holds, against a limit.
/// Small needs find room longer than large ones, so that ordinary requests are
/// served beside large bodies. Not thread safe.
class memory_budget
{
public:
    /// Needs of up to this size, in bytes, are small.
    static constexpr std::int64_t max_small_bytes = 64 << 10;

    /// Precondition: `limit_bytes` is positive.
    explicit memory_budget(std::int64_t limit_bytes);
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// Returns whether a holder of `held` bytes may hold `needed` instead. No
    /// precondition.
    [[nodiscard]] bool has_room(std::int64_t held, std::int64_t needed) const;

    /// Returns whether a holder could hold `needed` bytes if there was no
    /// other. No precondition.
    [[nodiscard]] bool can_ever_hold(std::int64_t needed) const;

    /// Returns the bytes in use, of one kind or of all.
    [[nodiscard]] std::int64_t used(memory_kind kind) const;
    [[nodiscard]] std::int64_t used() const;

    /// Returns the limit in bytes.
    [[nodiscard]] std::int64_t limit() const;

    /// Sets the action that is called each time that bytes are given back. It
    /// must not change the budget before it has returned; empty for none.
    void set_release_handler(std::function<void()> action);

private:
    friend class memory_reservation;

    /// Adds `bytes`, which may be negative.
    void add(memory_kind kind, std::int64_t bytes);
    /// Returns the limit for a need of that size.
    [[nodiscard]] std::int64_t limit_for(std::int64_t needed) const;

    std::int64_t m_limit;
    std::int64_t m_used = 0;
    std::array<std::int64_t, all_memory_kinds.size()> m_used_by_kind{};
    std::function<void()> m_release_handler;
};

/// Bytes of a budget that one holder uses; gives them back at its end. Not
/// thread safe.
class memory_reservation
{
public:
    /// Holds nothing and belongs to no budget; `resize` has no effect.
    memory_reservation() = default;

    /// Holds nothing yet. Precondition: `budget` is null or outlives the
    /// reservation.
    memory_reservation(memory_budget* budget, memory_kind kind);
    ~memory_reservation();
    /// A copy holds as many bytes again, as the copied bytes do.
    memory_reservation(const memory_reservation& other);
    memory_reservation& operator=(const memory_reservation& other);
    memory_reservation(memory_reservation&& other) noexcept;
    memory_reservation& operator=(memory_reservation&& other) noexcept;

    /// Holds `bytes` from now on if there is room, and returns whether there
    /// is; always for fewer than before, and without a budget. Precondition:
    /// `bytes` is not negative.
    [[nodiscard]] bool try_resize(std::int64_t bytes);

    /// Holds `bytes` from now on, whether or not there is room, for bytes that
    /// are there already. Precondition: `bytes` is not negative.
    void resize(std::int64_t bytes);

    /// Counts the bytes as of another kind from now on.
    void set_kind(memory_kind kind);

    /// Returns the bytes held.
    [[nodiscard]] std::int64_t bytes() const;

private:
    memory_budget* m_budget = nullptr;
    memory_kind m_kind = memory_kind::requests;
    std::int64_t m_bytes = 0;
};

} // namespace turmeric
