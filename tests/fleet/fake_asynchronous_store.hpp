#pragma once

#include "libraries/ports/asynchronous_store.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::tests
{

/// The outcome that the store simulates for a call.
enum class simulated_outcome
{
    served,
    /// The call fails without effect.
    failed,
    /// A change takes effect, but its outcome is reported as unknown.
    response_lost,
    /// The outcome of a change is reported as unknown; the change is applied
    /// later if its conditions still hold.
    applied_late,
};

/// An in-memory store. `serve_next` completes pending calls in order, each with
/// the outcome that the test passes to it; watches are completed separately.
class fake_asynchronous_store final : public ports::asynchronous_store
{
public:
    ports::store_era_tracker& eras() override
    {
        return m_eras;
    }

    void list(const std::string& prefix,
              callback<ports::key_range> done) override
    {
        m_calls.push_back(
            [this, prefix, done](simulated_outcome outcome_to_simulate)
            { serve_list(prefix, done, outcome_to_simulate); });
    }

    void watch(const std::string& prefix, ports::revision after,
               std::chrono::milliseconds,
               callback<ports::watch_batch> done) override
    {
        m_watches.push_back({prefix, after, std::move(done)});
    }

    void commit(const ports::store_change& change,
                callback<ports::change_outcome> done) override
    {
        m_calls.push_back(
            [this, change, done](simulated_outcome outcome_to_simulate)
            { serve_commit(change, done, outcome_to_simulate); });
    }

    void create_lease(std::chrono::milliseconds time_to_live,
                      callback<ports::granted_lease> done) override
    {
        m_calls.push_back(
            [this, time_to_live, done](simulated_outcome)
            {
                const ports::lease_id lease = ++m_content.last_lease;
                m_content.leases.insert(lease);
                done(ports::granted_lease{lease, time_to_live});
            });
    }

    void renew_lease(ports::lease_id lease,
                     callback<std::monostate> done) override
    {
        m_calls.push_back(
            [this, lease, done](simulated_outcome)
            {
                if (m_content.leases.count(lease) == 0)
                {
                    done(error{result_code::lease_lost, "lease", "ended"});
                    return;
                }
                done(std::monostate{});
            });
    }

    void revoke_lease(ports::lease_id lease,
                      callback<std::monostate> done) override
    {
        m_calls.push_back(
            [this, lease, done](simulated_outcome)
            {
                m_content.leases.erase(lease);
                done(std::monostate{});
            });
    }

    /// Completes the next pending call with a simulated outcome; returns false
    /// if there is none.
    bool serve_next(
        simulated_outcome outcome_to_simulate = simulated_outcome::served)
    {
        if (m_calls.empty())
        {
            return false;
        }
        const std::function<void(simulated_outcome)> call =
            std::move(m_calls.front());
        m_calls.pop_front();
        call(outcome_to_simulate);
        return true;
    }

    /// Completes all pending calls without failures.
    void serve_all()
    {
        while (serve_next())
        {
        }
    }

    /// Applies the changes of calls that got the outcome `applied_late`.
    void apply_late_changes()
    {
        for (const ports::store_change& change :
             std::exchange(m_late_changes, {}))
        {
            apply(change);
        }
    }

    /// Completes the pending watches with the changes since their revision.
    /// If `is_compacted`, it also reports their history as compacted.
    void respond_to_watches(bool is_compacted = false)
    {
        for (pending_watch& watch : std::exchange(m_watches, {}))
        {
            ports::watch_batch batch;
            // The store does not have a revision that it has not reached.
            batch.is_compacted =
                is_compacted || watch.after > m_content.revision;
            batch.store_revision = m_content.revision;
            for (const auto& [revision, event] : m_content.history)
            {
                if (revision > watch.after &&
                    event.entry.key.rfind(watch.prefix, 0) == 0)
                {
                    batch.events.push_back(event);
                }
            }
            watch.done(std::move(batch));
        }
    }

    /// Fails the pending watches.
    void fail_watches()
    {
        for (pending_watch& watch : std::exchange(m_watches, {}))
        {
            watch.done(error{result_code::platform_timeout, "store", "cut"});
        }
    }

    /// Makes the store report its era from now on.
    void begin_era()
    {
        m_eras.observe(m_eras.current() + 1);
    }

    /// Keeps a copy of the present content.
    void take_copy()
    {
        m_copy = m_content;
    }

    /// Replaces the content by that of the copy, and begins the next era.
    void restore_copy()
    {
        m_content = m_copy;
        m_eras.observe(m_eras.current() + 1);
    }

    /// Writes a key, as another client of the store does.
    void put(const std::string& key, const std::string& value)
    {
        m_content.items[key] = {key, value, ++m_content.revision};
        m_content.history.push_back(
            {m_content.revision, {m_content.items[key], false}});
    }

    /// Deletes a key, as another client of the store does.
    void erase(const std::string& key)
    {
        m_content.items.erase(key);
        ports::key_event event;
        event.entry = {key, "", ++m_content.revision};
        event.is_deleted = true;
        m_content.history.push_back({m_content.revision, event});
    }

    /// Returns a key's value; empty if it does not exist.
    std::string value(const std::string& key) const
    {
        const auto found = m_content.items.find(key);
        return found == m_content.items.end() ? "" : found->second.value;
    }

    /// Returns the keys that begin with `prefix`.
    std::map<std::string, ports::key_value>
    items(const std::string& prefix) const
    {
        std::map<std::string, ports::key_value> found = m_content.items;
        std::erase_if(found, [&](const auto& item)
                      { return !item.first.starts_with(prefix); });
        return found;
    }

    /// Returns the number of pending calls without the watches.
    std::size_t pending_call_count() const
    {
        return m_calls.size();
    }

private:
    /// All that a copy of the store keeps.
    struct content
    {
        std::map<std::string, ports::key_value> items;
        std::vector<std::pair<ports::revision, ports::key_event>> history;
        ports::revision revision = 1;
        ports::lease_id last_lease = 0;
        std::set<ports::lease_id> leases;
    };

    struct pending_watch
    {
        std::string prefix;
        ports::revision after;
        callback<ports::watch_batch> done;
    };

    void serve_list(const std::string& prefix,
                    const callback<ports::key_range>& done,
                    simulated_outcome outcome_to_simulate)
    {
        if (outcome_to_simulate != simulated_outcome::served)
        {
            done(error{result_code::platform_timeout, "store", "lost"});
            return;
        }
        ports::key_range range;
        range.store_revision = m_content.revision;
        for (const auto& [key, item] : m_content.items)
        {
            if (key.rfind(prefix, 0) == 0)
            {
                range.entries.push_back(item);
            }
        }
        done(std::move(range));
    }

    bool conditions_hold(const ports::store_change& change) const
    {
        for (const ports::key_condition& condition : change.conditions)
        {
            const auto found = m_content.items.find(condition.key);
            const ports::revision now =
                found == m_content.items.end()
                    ? 0
                    : found->second.modification_revision;
            if (now != condition.expected)
            {
                return false;
            }
        }
        return true;
    }

    bool apply(const ports::store_change& change)
    {
        if (!conditions_hold(change))
        {
            return false;
        }
        ++m_content.revision;
        for (const ports::key_write& write : change.writes)
        {
            m_content.items[write.key] = {write.key, write.value,
                                          m_content.revision};
            m_content.history.push_back(
                {m_content.revision, {m_content.items[write.key], false}});
        }
        return true;
    }

    void serve_commit(const ports::store_change& change,
                      const callback<ports::change_outcome>& done,
                      simulated_outcome outcome_to_simulate)
    {
        if (outcome_to_simulate == simulated_outcome::failed)
        {
            done(error{result_code::platform_unavailable, "store", "down"});
            return;
        }
        if (outcome_to_simulate == simulated_outcome::applied_late)
        {
            m_late_changes.push_back(change);
        }
        const bool is_applied =
            outcome_to_simulate != simulated_outcome::applied_late &&
            apply(change);
        if (outcome_to_simulate != simulated_outcome::served)
        {
            done(error{result_code::platform_outcome_unknown, "store", "lost",
                       outcome::outcome_unknown});
            return;
        }
        if (is_applied)
        {
            done(ports::change_outcome(
                ports::change_committed{m_content.revision}));
            return;
        }
        ports::change_conflict refused;
        for (const ports::key_condition& condition : change.conditions)
        {
            const auto found = m_content.items.find(condition.key);
            if (found != m_content.items.end())
            {
                refused.current.push_back(found->second);
            }
        }
        done(ports::change_outcome(std::move(refused)));
    }

    std::deque<std::function<void(simulated_outcome)>> m_calls;
    std::vector<pending_watch> m_watches;
    std::vector<ports::store_change> m_late_changes;
    content m_content;
    content m_copy;
    ports::store_era_tracker m_eras;
};

} // namespace turmeric::tests
