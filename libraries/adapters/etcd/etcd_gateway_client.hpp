#pragma once

#include "libraries/adapters/etcd/etcd_settings.hpp"
#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace httplib
{
struct Request;
} // namespace httplib

namespace turmeric::adapters
{

class checked_client;

/// Whether a call may change the store, which decides what the loss of its
/// reply means.
enum class etcd_call_kind
{
    /// Has no effect and may be repeated.
    read,
    /// May have taken effect although its reply was lost.
    write,
};

/// Calls the JSON gateways of etcd over pooled connections and maps their
/// failures to result codes. Thread safe.
class etcd_gateway_client
{
public:
    /// Precondition: `settings.endpoints` is not empty.
    explicit etcd_gateway_client(etcd_settings settings);
    ~etcd_gateway_client();
    etcd_gateway_client(const etcd_gateway_client&) = delete;
    etcd_gateway_client& operator=(const etcd_gateway_client&) = delete;

    /// Posts `body` to `path` and returns the parsed reply. Thread safe;
    /// blocks.
    result<json> call(etcd_call_kind kind, const std::string& path,
                      const json& body);

    /// Posts `body` to `path` and passes the response to `on_data` as it
    /// arrives, until `on_data` returns false, the stream ends or
    /// `idle_timeout` passes without a byte. Thread safe; blocks.
    status stream(const std::string& path, const json& body,
                  std::chrono::milliseconds idle_timeout,
                  const std::function<bool(std::string_view)>& on_data);

private:
    struct endpoint;
    struct attempt;

    std::unique_ptr<checked_client> acquire_client(endpoint& target);
    void release_client(endpoint& target,
                        std::unique_ptr<checked_client> client);
    std::unique_ptr<checked_client> make_client(const endpoint& target) const;
    attempt call_endpoint(endpoint& target, etcd_call_kind kind,
                          httplib::Request request);

    etcd_settings m_settings;
    std::vector<std::unique_ptr<endpoint>> m_endpoints;
    /// Index of the endpoint to try first: the last one that needed no
    /// failover.
    std::atomic<std::size_t> m_preferred_endpoint{0};
};

} // namespace turmeric::adapters
