#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "utilities/turmericctl/exit_status.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <google/protobuf/message.h>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::ctl
{

/// How to reach the controllers.
struct client_settings
{
    /// "host:port", with "https://" before it for TLS. At least one.
    std::vector<std::string> controllers;
    std::string key;
    /// File of trusted CA certificates; if empty, those of the system.
    std::string certificates;
    std::chrono::milliseconds timeout{15'000};
};

/// Whether a call may be sent again when its outcome is unknown.
enum class retry_safety : std::uint8_t
{
    /// For reads, and for changes with an id, which take effect only once.
    safe,
    unsafe,
};

/// Why a call failed.
struct call_failure
{
    exit_status status = exit_status::refused;
    /// The problem document of the controller, or an object with `detail`.
    json problem;
};

/// How the exchange with one controller ended.
enum class exchange_kind : std::uint8_t
{
    replied,
    /// No connection was made; the request did not run.
    unreachable,
    /// No complete reply was received; the request may have run.
    reply_lost,
};

/// One exchange with one controller.
struct exchange
{
    exchange_kind kind = exchange_kind::unreachable;
    int status = 0;
    std::string body;
};

/// Sends a request body to a path of a controller and returns the exchange.
using exchange_function =
    std::function<exchange(const std::string& controller,
                           const std::string& path, const std::string& body)>;

/// Returns a function that makes exchanges over HTTP. Thread safe.
[[nodiscard]] exchange_function
make_http_exchange(const client_settings& settings);

/// Calls the operators' service on the first controller that replies. A
/// request whose outcome is unknown is sent again only when that is safe. Not
/// thread safe.
class operator_client
{
public:
    /// Precondition: `controllers` is not empty; `send` is callable.
    operator_client(std::vector<std::string> controllers,
                    exchange_function send);

    /// Calls a method and fills `reply`; returns the failure if the call
    /// fails. Blocks.
    std::optional<call_failure> call(const std::string& method,
                                     const google::protobuf::Message& request,
                                     retry_safety retries,
                                     google::protobuf::Message& reply);

private:
    std::vector<std::string> m_controllers;
    exchange_function m_send;
};

} // namespace turmeric::ctl
