#pragma once

#include "standins/common/http_server.hpp"
#include "standins/key_value/key_value_state.hpp"

#include <functional>

namespace turmeric::standins
{

/// What the faults of the server say about a call.
struct platform_form_faults
{
    /// Answers or drops the call and returns true where a fault says so.
    std::function<bool(bool is_write, httplib::Response& reply)> is_answered;
    /// Tells whether this call is lost before it takes effect.
    std::function<bool()> is_lost_before;
    /// Tells whether the reply of this call is lost after its effect.
    std::function<bool()> is_lost_after;
    /// Tells whether watches stay silent.
    std::function<bool()> is_silent;
};

/// The same keys and leases in the form of the users' platform: `/api/kv-*`
/// with fields as its pages spell them. Thread safe.
class platform_form
{
public:
    /// Precondition: `state` outlives this.
    platform_form(key_value_state& state, platform_form_faults faults);

    /// Adds the calls to a server. Precondition: this outlives the server,
    /// which has not started.
    void register_calls(httplib::Server& server);

private:
    using handler = void (platform_form::*)(const httplib::Request& request,
                                            httplib::Response& reply);

    void add(const std::function<void(const std::string&,
                                      httplib::Server::Handler)>& verb,
             const char* path, bool is_write, handler handle);
    void on_range(const httplib::Request& request, httplib::Response& reply);
    void on_watch(const httplib::Request& request, httplib::Response& reply);
    void on_change(const httplib::Request& request, httplib::Response& reply);
    void on_lease(const httplib::Request& request, httplib::Response& reply);
    void on_keep(const httplib::Request& request, httplib::Response& reply);
    void on_end(const httplib::Request& request, httplib::Response& reply);

    key_value_state& m_state;
    platform_form_faults m_faults;
};

} // namespace turmeric::standins
