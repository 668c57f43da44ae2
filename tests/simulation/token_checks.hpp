#pragma once

#include "tests/simulation/simulated_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>

namespace turmeric::tests
{

constexpr int small_fleet_size = 6;
// The sanitizer builds run many times slower, so they play a smaller fleet.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int grown_fleet_size = 12;
#else
constexpr int grown_fleet_size = 87;
#endif

/// All that the accounts of a simulated fleet have paid for.
constexpr std::int64_t paid_tokens =
    simulated_fleet::account_count * simulated_fleet::prepaid_tokens;

/// Checks that the store counts all tokens that routers can still spend or have
/// spent.
inline void check_all_tokens_count(const simulated_fleet& fleet)
{
    CHECK(fleet.usable_tokens() <= fleet.granted_in_all());
    CHECK(fleet.granted_in_all() <= paid_tokens);
}

} // namespace turmeric::tests
