#pragma once

#include "libraries/core/result.hpp"
#include "libraries/drivers/responses/response_buffer.hpp"
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

/// Limits of a response cache.
struct response_cache_settings
{
    /// Limits responses in flight and retained ones together.
    std::size_t max_responses = 20'000;
    /// Limits the total size of ended responses, which are retained for callers
    /// that repeat a request.
    std::size_t max_retained_bytes = std::size_t{32} * 1024 * 1024;
    /// How long an ended response is retained.
    std::chrono::seconds retention{60};
    /// Limits each response; see `response_buffer`.
    std::size_t max_unread_bytes = std::size_t{64} * 1024;
};

/// The response to a request, and whether the cache had none for it before.
struct opened_response
{
    std::shared_ptr<response_buffer> buffer;
    bool is_new = false;
};

/// Indexes the responses in flight, and those that ended within the retention
/// time, by client account and request id. A repeated request joins the
/// response in flight or replays the ended one. Thread safe.
class response_cache
{
public:
    /// Precondition: `clock` outlives this.
    response_cache(const response_cache_settings& settings,
                   const ports::clock& clock);

    /// Finds or creates the response buffer of a request. Thread safe.
    ///
    /// Errors: `request_id_reused` when the id was used with another body,
    /// `duplicate_request` while the response of the id is being cancelled,
    /// `ledger_full` when `max_responses` is reached.
    result<opened_response> open(const std::string& account,
                                 const std::string& request_id,
                                 std::uint64_t body_digest);

    /// Records that the response ended. It is removed unless `is_retained`, so
    /// that a repeated request runs again. Thread safe.
    void close(const std::string& account, const std::string& request_id,
               bool is_retained);

    /// Returns the number of responses in flight. Thread safe.
    [[nodiscard]] std::size_t in_flight() const;

    /// Returns the number of bytes written but not yet read, over all responses
    /// in flight. Thread safe.
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
    /// Keys of ended responses, oldest first.
    std::list<std::string> m_ended;
    std::size_t m_retained_bytes = 0;
};

} // namespace turmeric::drivers
