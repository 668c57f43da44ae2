#pragma once

#include "libraries/core/json.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "utilities/turmeric_load/load_options.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace turmeric::load
{

/// A router that callers may use.
struct located_router
{
    std::string address;
    double weight = 1.0;
};

/// A router's response to `GET /v1/routers`: where to send requests, and for
/// how long this is valid.
struct locate_response
{
    std::vector<located_router> routers;
    std::chrono::milliseconds time_to_live{0};
};

/// Parses the response to `GET /v1/routers`; no value if it is invalid or
/// lists no router. Thread safe.
[[nodiscard]] std::optional<locate_response>
parse_locate_response(const std::string& text);

/// Keeps the list of routers to use and refreshes it when its time to live
/// has passed. Thread safe.
class router_directory
{
public:
    /// If direct, the targets themselves are used and no router is queried.
    explicit router_directory(const load_options& options);
    ~router_directory();
    router_directory(const router_directory&) = delete;
    router_directory& operator=(const router_directory&) = delete;

    /// Queries the targets; false when none returns a list. Then starts the
    /// thread that refreshes it. Blocks.
    bool start();

    /// Selects an address at random in proportion to the weights, and not
    /// `avoided_address` if there is another one. `random_number` determines
    /// the choice. Precondition: `start` succeeded.
    [[nodiscard]] std::string pick(std::uint64_t random_number,
                                   const std::string& avoided_address);

private:
    bool query_routers();
    [[nodiscard]] std::optional<locate_response>
    query_router(const std::string& address) const;
    void refresh();

    load_options m_options;
    drivers::stop_signal m_stop;
    std::mutex m_mutex;
    locate_response m_located;
    std::thread m_thread;
};

} // namespace turmeric::load
