#include "libraries/drivers/platform/counted_asynchronous_store.hpp"

#include <string>
#include <utility>

namespace turmeric::drivers
{

namespace
{

template <class Value>
bool is_conflict(const Value&)
{
    return false;
}

bool is_conflict(const ports::change_outcome& outcome)
{
    return std::holds_alternative<ports::change_conflict>(outcome);
}

template <class Value>
std::string outcome_name(const result<Value>& response)
{
    if (!response)
    {
        return std::string(name_of(response.failure().code));
    }
    return is_conflict(response.value()) ? "conflict" : "ok";
}

} // namespace

counted_asynchronous_store::counted_asynchronous_store(
    ports::asynchronous_store& store, metrics::registry& registry)
    : m_store(store)
    , m_calls(registry.make<metrics::counter>(
          {"turmeric_platform_calls_total",
           "Calls to the key-value service by call and outcome.",
           {"call", "outcome"},
           64,
           {}}))
{
}

template <class Value>
ports::asynchronous_store::callback<Value>
counted_asynchronous_store::count(const char* call, callback<Value> done)
{
    return [this, call, done = std::move(done)](result<Value> response)
    {
        m_calls.with_labels({call, outcome_name(response)}).add();
        done(std::move(response));
    };
}

ports::store_era_tracker& counted_asynchronous_store::eras()
{
    return m_store.eras();
}

void counted_asynchronous_store::list(const std::string& prefix,
                                      callback<ports::key_range> done)
{
    m_store.list(prefix, count<ports::key_range>("list", std::move(done)));
}

void counted_asynchronous_store::watch(const std::string& prefix,
                                       ports::revision after,
                                       std::chrono::milliseconds wait,
                                       callback<ports::watch_batch> done)
{
    m_store.watch(prefix, after, wait,
                  count<ports::watch_batch>("watch", std::move(done)));
}

void counted_asynchronous_store::commit(const ports::store_change& change,
                                        callback<ports::change_outcome> done)
{
    m_store.commit(change,
                   count<ports::change_outcome>("commit", std::move(done)));
}

void counted_asynchronous_store::create_lease(
    std::chrono::milliseconds time_to_live, callback<ports::granted_lease> done)
{
    m_store.create_lease(time_to_live, count<ports::granted_lease>(
                                           "create_lease", std::move(done)));
}

void counted_asynchronous_store::renew_lease(ports::lease_id lease,
                                             callback<std::monostate> done)
{
    m_store.renew_lease(lease,
                        count<std::monostate>("renew_lease", std::move(done)));
}

void counted_asynchronous_store::revoke_lease(ports::lease_id lease,
                                              callback<std::monostate> done)
{
    m_store.revoke_lease(
        lease, count<std::monostate>("revoke_lease", std::move(done)));
}

} // namespace turmeric::drivers
