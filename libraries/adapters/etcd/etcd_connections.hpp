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
class etcd_connections
{
public:
    /// Precondition: `settings.endpoints` is not empty.
    explicit etcd_connections(etcd_settings settings);
    ~etcd_connections();
    etcd_connections(const etcd_connections&) = delete;
    etcd_connections& operator=(const etcd_connections&) = delete;

    /// Posts `body` to `path` and returns the parsed answer. Thread safe;
    /// blocks.
    result<json> call(etcd_call_kind kind, const std::string& path,
                      const json& body);

    /// Posts `body` and hands the answer over as it arrives until `on_data`
    /// returns false, the stream ends or `silence` passes without a byte.
    /// Thread safe; blocks.
    status stream(const std::string& path, const json& body,
                  std::chrono::milliseconds silence,
                  const std::function<bool(std::string_view)>& on_data);

private:
    struct endpoint;
    struct attempt;

    std::unique_ptr<httplib::Client> take(endpoint& target);
    void give_back(endpoint& target, std::unique_ptr<httplib::Client> client);
    std::unique_ptr<httplib::Client> connect_to(const endpoint& target) const;
    attempt call_once(endpoint& target, etcd_call_kind kind,
                      const std::string& path, const std::string& body);

    etcd_settings m_settings;
    std::vector<std::unique_ptr<endpoint>> m_endpoints;
    /// The endpoint that answered last.
    std::atomic<std::size_t> m_preferred{0};
};

} // namespace turmeric::adapters
