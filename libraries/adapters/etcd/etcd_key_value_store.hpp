#pragma once

#include "libraries/adapters/etcd/etcd_settings.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <memory>
#include <string>

namespace turmeric::adapters
{

class etcd_gateway_client;

/// A key-value store in etcd, reached through the v3 JSON gateway. Thread safe.
///
/// A read whose connection breaks is tried once at each endpoint. A write is
/// tried at the next endpoint only if no connection was made or the gateway
/// refused the call as unavailable, since it had no effect then. Otherwise a
/// write whose reply is lost fails with `platform_outcome_unknown`.
class etcd_key_value_store final : public ports::key_value_store
{
public:
    /// Precondition: `settings.endpoints` is not empty. Connects on first use.
    explicit etcd_key_value_store(etcd_settings settings);
    ~etcd_key_value_store() override;

    /// Reads one key. Thread safe; blocks up to the call timeout.
    result<std::optional<ports::key_value>>
    get(const std::string& key) override;

    /// Reads the keys that start with `prefix`. Thread safe; blocks.
    result<ports::key_range> list(const std::string& prefix) override;

    /// Writes if the modification revision of `key` is `expected`. Thread safe;
    /// blocks.
    result<ports::revision> compare_and_swap(const std::string& key,
                                             const std::string& value,
                                             ports::revision expected,
                                             ports::lease_id lease) override;

    /// Deletes if the modification revision of `key` is `expected`. Thread
    /// safe; blocks.
    status compare_and_delete(const std::string& key,
                              ports::revision expected) override;

    /// Creates a lease. Precondition: `time_to_live` is at least one second.
    /// Thread safe; blocks.
    result<ports::lease_id>
    create_lease(std::chrono::seconds time_to_live) override;

    /// Renews a lease; `lease_lost` if it has expired. Thread safe; blocks.
    status renew_lease(ports::lease_id lease) override;

    /// Revokes a lease; `lease_lost` if it does not exist. Thread safe; blocks.
    status revoke_lease(ports::lease_id lease) override;

    /// Waits up to `wait` for changes and returns as soon as any arrive. A
    /// watch that the service does not confirm within `wait` fails with
    /// `platform_timeout`. Thread safe; blocks.
    result<ports::watch_batch> watch(const std::string& prefix,
                                     ports::revision start,
                                     std::chrono::milliseconds wait) override;

private:
    std::unique_ptr<etcd_gateway_client> m_gateway_client;
};

} // namespace turmeric::adapters
