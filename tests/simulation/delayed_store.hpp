#pragma once

#include "tests/fleet/fake_asynchronous_store.hpp"
#include "tests/simulation/event_queue.hpp"

namespace turmeric::tests
{

/// One router's connection to a store that all routers of a simulation share.
/// Calls reach the store after half of the response time, and the records that
/// are read take time on the router's link. While the connection is cut, calls
/// fail after a timeout instead.
class delayed_store final : public ports::asynchronous_store
{
public:
    delayed_store(fake_asynchronous_store& store, event_queue& events)
        : m_store(store)
        , m_events(events)
    {
    }

    ports::store_era_tracker& eras() override
    {
        return m_eras;
    }

    void list(const std::string& prefix,
              callback<ports::key_range> done) override
    {
        ++read_count;
        const auto receive =
            [this, done = std::move(done)](result<ports::key_range> response)
        {
            const std::chrono::nanoseconds time =
                response ? transfer_time(response.value())
                         : std::chrono::nanoseconds(0);
            m_events.run_after(time, [done, response = std::move(response)]
                               { done(response); });
        };
        forward<ports::key_range>(
            receive, [this, prefix](callback<ports::key_range> served)
            { m_store.list(prefix, std::move(served)); });
    }

    void watch(const std::string& prefix, ports::revision after,
               std::chrono::milliseconds wait,
               callback<ports::watch_batch> done) override
    {
        if (is_cut)
        {
            fail<ports::watch_batch>(std::move(done));
            return;
        }
        m_store.watch(
            prefix, after, wait,
            [this, done = std::move(done)](result<ports::watch_batch> response)
            {
                if (is_cut && loses_watches)
                {
                    fail<ports::watch_batch>(done);
                    return;
                }
                deliver(m_store.eras().current(), response, done);
            });
    }

    void commit(const ports::store_change& change,
                callback<ports::change_outcome> done) override
    {
        ++commit_count;
        forward<ports::change_outcome>(
            std::move(done),
            [this, change](callback<ports::change_outcome> served)
            { m_store.commit(change, std::move(served)); });
    }

    void create_lease(std::chrono::milliseconds time_to_live,
                      callback<ports::granted_lease> done) override
    {
        forward<ports::granted_lease>(
            std::move(done),
            [this, time_to_live](callback<ports::granted_lease> served)
            { m_store.create_lease(time_to_live, std::move(served)); });
    }

    void renew_lease(ports::lease_id lease,
                     callback<std::monostate> done) override
    {
        forward<std::monostate>(
            std::move(done), [this, lease](callback<std::monostate> served)
            { m_store.renew_lease(lease, std::move(served)); });
    }

    void revoke_lease(ports::lease_id lease,
                      callback<std::monostate> done) override
    {
        forward<std::monostate>(
            std::move(done), [this, lease](callback<std::monostate> served)
            { m_store.revoke_lease(lease, std::move(served)); });
    }

    bool is_cut = false;
    /// Whether a cut also ends the watches that wait already.
    bool loses_watches = false;
    std::int64_t read_count = 0;
    std::int64_t commit_count = 0;

private:
    static constexpr std::chrono::milliseconds one_way{3};
    static constexpr std::chrono::milliseconds timeout{1'500};

    /// Returns the time that a range takes on a link of 10 Mbit/s; values are
    /// sent in base64.
    static std::chrono::nanoseconds transfer_time(const ports::key_range& range)
    {
        constexpr std::chrono::nanoseconds time_per_byte{800};
        std::size_t bytes = 0;
        for (const ports::key_value& entry : range.entries)
        {
            bytes += entry.value.size() * 4 / 3;
        }
        return time_per_byte * static_cast<std::int64_t>(bytes);
    }

    template <class Value>
    void fail(callback<Value> done)
    {
        m_events.run_after(
            timeout,
            [done = std::move(done)] {
                done(error{result_code::platform_unavailable, "store", "cut"});
            });
    }

    /// Passes on a response that the store gave in `era`.
    template <class Value>
    void deliver(ports::store_era era, const result<Value>& response,
                 const callback<Value>& done)
    {
        if (m_eras.observe(era))
        {
            done(response);
            return;
        }
        done(error{result_code::platform_outcome_unknown, "store", "outdated",
                   outcome::outcome_unknown});
    }

    template <class Value>
    void forward(callback<Value> done,
                 std::function<void(callback<Value>)> call)
    {
        if (is_cut)
        {
            fail<Value>(std::move(done));
            return;
        }
        const auto respond =
            [this, done = std::move(done)](result<Value> response)
        {
            const ports::store_era era = m_store.eras().current();
            m_events.run_after(one_way,
                               [this, era, done, response = std::move(response)]
                               { deliver(era, response, done); });
        };
        m_events.run_after(one_way,
                           [this, call = std::move(call), respond]
                           {
                               call(respond);
                               m_store.serve_all();
                           });
    }

    fake_asynchronous_store& m_store;
    event_queue& m_events;
    ports::store_era_tracker m_eras;
};

} // namespace turmeric::tests
