#pragma once

#include "libraries/core/result.hpp"
#include "libraries/drivers/answers/response_buffer.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace turmeric::drivers
{

/// Bounds of an answer store.
struct response_cache_settings
{
    std::size_t max_responses = 20'000;
    /// Bytes of ended answers kept for callers that repeat a request.
    std::size_t max_retained_bytes = std::size_t{32} * 1024 * 1024;
    std::chrono::seconds retention{60};
    std::size_t max_unread_bytes = std::size_t{64} * 1024;
};

/// An answer and whether the request is new here.
struct opened_response
{
    std::shared_ptr<response_buffer> buffer;
    bool is_new = false;
};

/// The answers in flight and those that ended lately, by client account and
/// request id, so that a repeated request joins or replays its answer.
/// Thread safe.
class response_cache
{
public:
    /// Precondition: `clock` outlives this.
    response_cache(const response_cache_settings& settings,
                   const ports::clock& clock);

    /// Finds or makes the record of a request. Errors: `request_id_reused`
    /// for another body, `ledger_full`. Thread safe.
    result<opened_response> open(const std::string& account,
                                 const std::string& request_id,
                                 std::uint64_t body_digest);

    /// Records that the answer ended. One that is not `is_retained` is
    /// forgotten, so that a repeated request runs anew. Thread safe.
    void close(const std::string& account, const std::string& request_id,
               bool is_retained);

    /// Returns how many answers are in flight. Thread safe.
    [[nodiscard]] std::size_t in_flight() const;

    /// Returns the bytes written and not yet read, over all answers. Thread
    /// safe.
    [[nodiscard]] std::size_t unread_bytes() const;

private:
    struct entry
    {
        std::shared_ptr<response_buffer> buffer;
        std::uint64_t body_digest = 0;
        bool is_ended = false;
        std::size_t retained_bytes = 0;
        ports::steady_time ended_at;
    };

    void evict_ended_locked();

    const response_cache_settings m_settings;
    const ports::clock& m_clock;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, entry> m_entries;
    /// Keys of ended answers, oldest first.
    std::list<std::string> m_ended;
    std::size_t m_retained_bytes = 0;
};

} // namespace turmeric::drivers
