#pragma once

#include "standins/common/http_server.hpp"
#include "standins/key_value/key_value_state.hpp"

#include <functional>

namespace turmeric::standins
{

/// Callbacks that apply the faults of the server to a call.
struct platform_api_faults
{
    /// Applies the faults that precede a call; returns true if they refused or
    /// dropped it.
    std::function<bool(bool is_write, httplib::Response& reply)>
        is_handled_by_fault;
    /// Drops the connection and returns true if this call is to be lost before
    /// it takes effect.
    std::function<bool()> drop_before_effect;
    /// Drops the connection and returns true if the reply of this call is to be
    /// lost after it took effect.
    std::function<bool()> drop_reply_after_effect;
    /// Returns whether the fault `silent_watches` is set.
    std::function<bool()> has_silent_watches;
};

/// Serves the keys and leases of the stand-in through the API of the users'
/// platform: the paths `/api/kv-*`, with fields spelled as its documentation
/// has them. Thread safe.
class platform_api
{
public:
    /// Precondition: `state` outlives this.
    platform_api(key_value_state& state, platform_api_faults faults);

    /// Adds the paths to a server. Preconditions: this outlives the server, and
    /// the server has not started.
    void register_endpoints(httplib::Server& server);

private:
    using handler = void (platform_api::*)(const httplib::Request& request,
                                           httplib::Response& reply);

    void add_endpoint(
        const std::function<void(const std::string&, httplib::Server::Handler)>&
            register_handler,
        const char* path, bool is_write, handler handle);
    void on_range(const httplib::Request& request, httplib::Response& reply);
    void on_watch(const httplib::Request& request, httplib::Response& reply);
    void on_transaction(const httplib::Request& request,
                        httplib::Response& reply);
    void on_lease_grant(const httplib::Request& request,
                        httplib::Response& reply);
    void on_lease_keepalive(const httplib::Request& request,
                            httplib::Response& reply);
    void on_lease_revoke(const httplib::Request& request,
                         httplib::Response& reply);

    key_value_state& m_state;
    platform_api_faults m_faults;
};

} // namespace turmeric::standins
