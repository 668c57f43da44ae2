#pragma once

#include "libraries/core/metrics/registry.hpp"
#include "libraries/ports/key_value_store.hpp"

namespace turmeric::drivers
{

/// Forwards all calls to another key-value store, and counts them by call and
/// outcome. Thread safe.
class counted_key_value_store final : public ports::key_value_store
{
public:
    /// Precondition: `calls` has the labels call and outcome; `store` and
    /// `calls` outlive this object.
    counted_key_value_store(ports::key_value_store& store,
                            metrics::family<metrics::counter>& calls);

    /// See `ports::key_value_store` for this and the following functions.
    /// Thread safe.
    result<std::optional<ports::key_value>>
    get(const std::string& key) override;

    result<ports::key_range> list(const std::string& prefix) override;

    result<ports::revision> compare_and_swap(const std::string& key,
                                             const std::string& value,
                                             ports::revision expected,
                                             ports::lease_id lease) override;

    status compare_and_delete(const std::string& key,
                              ports::revision expected) override;

    result<ports::lease_id>
    create_lease(std::chrono::seconds time_to_live) override;

    status renew_lease(ports::lease_id lease) override;

    status revoke_lease(ports::lease_id lease) override;

    result<ports::watch_batch> watch(const std::string& prefix,
                                     ports::revision start,
                                     std::chrono::milliseconds wait) override;

private:
    template <class Value>
    result<Value> count(const char* call, result<Value> outcome);

    ports::key_value_store& m_store;
    metrics::family<metrics::counter>& m_calls;
};

} // namespace turmeric::drivers
