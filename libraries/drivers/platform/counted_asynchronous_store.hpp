#pragma once

#include "libraries/core/metrics/counter.hpp"
#include "libraries/core/metrics/registry.hpp"
#include "libraries/ports/asynchronous_store.hpp"

namespace turmeric::drivers
{

/// Forwards all calls to another store, and counts them by call and outcome. A
/// change that the store refuses has the outcome `conflict`. Used on the thread
/// of the store only.
class counted_asynchronous_store final : public ports::asynchronous_store
{
public:
    /// Precondition: `registry` has no `turmeric_platform_calls_total` yet;
    /// `store` and `registry` outlive this object.
    counted_asynchronous_store(ports::asynchronous_store& store,
                               metrics::registry& registry);

    /// See `ports::asynchronous_store` for this and the following functions.
    [[nodiscard]] ports::store_era_tracker& eras() override;

    void list(const std::string& prefix,
              callback<ports::key_range> done) override;

    void watch(const std::string& prefix, ports::revision after,
               std::chrono::milliseconds wait,
               callback<ports::watch_batch> done) override;

    void commit(const ports::store_change& change,
                callback<ports::change_outcome> done) override;

    void create_lease(std::chrono::milliseconds time_to_live,
                      callback<ports::granted_lease> done) override;

    void renew_lease(ports::lease_id lease,
                     callback<std::monostate> done) override;

    void revoke_lease(ports::lease_id lease,
                      callback<std::monostate> done) override;

private:
    /// Returns a callback that counts the outcome of `call` and then calls
    /// `done`.
    template <class Value>
    callback<Value> count(const char* call, callback<Value> done);

    ports::asynchronous_store& m_store;
    metrics::family<metrics::counter>& m_calls;
};

} // namespace turmeric::drivers
