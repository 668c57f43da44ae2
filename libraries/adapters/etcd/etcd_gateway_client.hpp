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
class Client;
}

namespace turmeric::adapters
{

/// What a lost reply means for a call.
enum class etcd_call_kind
{
    /// No effect; may be repeated.
    read,
    /// May have taken effect.
    write,
};

/// A pool of connections to the gateways and the mapping of their failures.
/// Thread safe.
class etcd_gateway_client
{
public:
    /// Precondition: `settings.endpoints` is not empty.
    explicit etcd_gateway_client(etcd_settings settings);
    ~etcd_gateway_client();
    etcd_gateway_client(const etcd_gateway_client&) = delete;
    etcd_gateway_client& operator=(const etcd_gateway_client&) = delete;

    /// Posts `body` to `path` and returns the parsed answer. Thread safe;
    /// blocks.
    result<json> call(etcd_call_kind kind, const std::string& path,
                      const json& body);

    /// Posts `body` and hands the answer over as it arrives until `on_data`
    /// returns false, the stream ends or `silence` passes without a byte.
    /// Thread safe; blocks.
    status stream(const std::string& path, const json& body,
                  std::chrono::milliseconds idle_timeout,
                  const std::function<bool(std::string_view)>& on_data);

private:
    struct endpoint;
    struct attempt;

    std::unique_ptr<httplib::Client> acquire_client(endpoint& target);
    void release_client(endpoint& target,
                        std::unique_ptr<httplib::Client> client);
    std::unique_ptr<httplib::Client> make_client(const endpoint& target) const;
    attempt call_endpoint(endpoint& target, etcd_call_kind kind,
                          const std::string& path, const std::string& body);

    etcd_settings m_settings;
    std::vector<std::unique_ptr<endpoint>> m_endpoints;
    /// The endpoint that answered last.
    std::atomic<std::size_t> m_preferred_endpoint{0};
};

} // namespace turmeric::adapters
