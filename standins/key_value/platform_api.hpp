#pragma once

#include "standins/common/http_server.hpp"
#include "standins/key_value/key_value_state.hpp"

#include <functional>

namespace turmeric::standins
{

/// What the faults of the server say about a call.
struct platform_api_faults
{
    /// Answers or drops the call and returns true where a fault says so.
    std::function<bool(bool is_write, httplib::Response& reply)>
        is_handled_by_fault;
    /// Tells whether this call is lost before it takes effect.
    std::function<bool()> drop_before_effect;
    /// Tells whether the reply of this call is lost after its effect.
    std::function<bool()> drop_reply_after_effect;
    /// Tells whether watches stay silent.
    std::function<bool()> has_silent_watches;
};

/// The same keys and leases in the form of the users' platform: `/api/kv-*`
/// with fields as its pages spell them. Thread safe.
class platform_api
{
public:
    /// Precondition: `state` outlives this.
    platform_api(key_value_state& state, platform_api_faults faults);

    /// Adds the calls to a server. Precondition: this outlives the server,
    /// which has not started.
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
