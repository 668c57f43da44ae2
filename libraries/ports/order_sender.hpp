#pragma once

#include "libraries/core/result.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::ports
{

/// What an engine is ordered to do with a version.
enum class order_kind : std::uint8_t
{
    load,
    unload,
};

/// Returns the name used on the wire. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(order_kind kind)
{
    return kind == order_kind::load ? "load_version" : "unload_version";
}

/// An order to an engine. Orders are idempotent.
struct upstream_order
{
    order_kind kind = order_kind::load;
    std::string version;
    /// The fencing number of the controller that sends the order. Engines that
    /// check it refuse a number lower than the highest they have received.
    std::int64_t fencing = 0;
};

/// Sends orders to engines with `POST /v1/orders`. Implementations are thread
/// safe.
///
/// Errors: `upstream_refused_order` (an older fencing number),
/// `upstream_failed` with effect `not_run`, `upstream_timeout` or
/// `stream_broken` when the order may have taken effect.
class order_sender
{
public:
    order_sender() = default;
    order_sender(const order_sender&) = delete;
    order_sender& operator=(const order_sender&) = delete;
    virtual ~order_sender() = default;

    /// Sends `order` to `address` ("host:port") and waits until the engine
    /// has carried it out. Thread safe; blocks up to `timeout`.
    virtual status send(const std::string& address, const upstream_order& order,
                        std::chrono::milliseconds timeout) = 0;
};

} // namespace turmeric::ports
