#include "libraries/drivers/platform/counted_key_value_store.hpp"

#include <string>

namespace turmeric::drivers
{

counted_key_value_store::counted_key_value_store(
    ports::key_value_store& store, metrics::family<metrics::counter>& calls)
    : m_store(store)
    , m_calls(calls)
{
}

template <class Value>
result<Value> counted_key_value_store::count(const char* call,
                                             result<Value> outcome)
{
    std::string name(outcome ? "ok" : name_of(outcome.failure().code));
    m_calls.with_labels({call, name}).add();
    return outcome;
}

result<std::optional<ports::key_value>>
counted_key_value_store::get(const std::string& key)
{
    return count("get", m_store.get(key));
}

result<ports::key_range>
counted_key_value_store::list(const std::string& prefix)
{
    return count("list", m_store.list(prefix));
}

result<ports::revision> counted_key_value_store::compare_and_swap(
    const std::string& key, const std::string& value, ports::revision expected,
    ports::lease_id lease)
{
    return count("compare_and_swap",
                 m_store.compare_and_swap(key, value, expected, lease));
}

status counted_key_value_store::compare_and_delete(const std::string& key,
                                                   ports::revision expected)
{
    return count("compare_and_delete",
                 m_store.compare_and_delete(key, expected));
}

result<ports::lease_id>
counted_key_value_store::create_lease(std::chrono::seconds time_to_live)
{
    return count("create_lease", m_store.create_lease(time_to_live));
}

status counted_key_value_store::renew_lease(ports::lease_id lease)
{
    return count("renew_lease", m_store.renew_lease(lease));
}

status counted_key_value_store::revoke_lease(ports::lease_id lease)
{
    return count("revoke_lease", m_store.revoke_lease(lease));
}

result<ports::watch_batch>
counted_key_value_store::watch(const std::string& prefix, ports::revision start,
                               std::chrono::milliseconds wait)
{
    return count("watch", m_store.watch(prefix, start, wait));
}

} // namespace turmeric::drivers
