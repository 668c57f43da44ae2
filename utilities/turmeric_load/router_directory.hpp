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

/// What a router says about where to send requests.
struct locate_response
{
    std::vector<located_router> routers;
    std::chrono::milliseconds time_to_live{0};
};

/// Reads the answer to `GET /v1/routers`; nothing when it names no router.
/// Thread safe.
[[nodiscard]] std::optional<locate_response>
parse_locate_response(const std::string& text);

/// Knows the routers to use and asks again when its answer is out of date.
/// Thread safe.
class router_directory
{
public:
    /// If direct, the targets themselves are used and nobody is asked.
    explicit router_directory(const load_options& options);
    ~router_directory();
    router_directory(const router_directory&) = delete;
    router_directory& operator=(const router_directory&) = delete;

    /// Asks for the first time; false when no target answers. Blocks.
    bool start();

    /// Picks an address by weight, another one than `avoided_address` if there
    /// is one. `random_number` is a random number. Precondition: `start`
    /// succeeded.
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
