#include "libraries/codecs/common/json_reader.hpp"
#include "platform/platform_store.hpp"
#include "tests/exchange/exchange_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <malloc.h>

using namespace turmeric;
using namespace turmeric::tests;

namespace
{

constexpr std::size_t response_bytes = 4 << 20;
/// The most that a parsed value takes, as an object in an object, and what an
/// array of them has in reserve.
constexpr std::size_t parsed_value_bytes = 160;
/// One value for each four bytes of the largest value that the store keeps.
constexpr std::size_t max_values = (1 << 20) / 4;
constexpr std::size_t max_parsed_bytes = max_values * parsed_value_bytes;

/// Returns `text` over and over, up to the size of a response.
std::string repeat(const std::string& text)
{
    std::string repeated;
    while (repeated.size() < response_bytes)
    {
        repeated += text;
    }
    return repeated;
}

/// Sets the process's peak of resident memory back to its present use.
void reset_peak_memory()
{
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << "5";
}

/// Returns the bytes of the process's peak of resident memory.
std::size_t peak_memory()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word && word != "VmHWM:")
    {
    }
    std::size_t kibibytes = 0;
    status >> kibibytes;
    return kibibytes << 10;
}

} // namespace

TEST_GROUP(many_values_group){};

// A store response within its limit took up to 75 times its size when parsed.
TEST(many_values_group, a_store_response_of_tiny_values_takes_no_multiple)
{
    for (const std::string& body :
         {repeat("["), repeat(R"({"a":)"), "[" + repeat("[],") + "1]",
          "[" + repeat("1,") + "1]", "[" + repeat(R"({"a":1},)") + "1]",
          R"({"CurrentRev":9,"Items":[)" + repeat("{},") + "{}]}"})
    {
        fakes::manual_clock clock;
        manual_timer_queue timers{clock};
        fake_upstream_transport transport;
        platform::platform_store store{transport, timers, clock, "10.0.0.9:1"};
        std::optional<result<ports::key_range>> range;
        store.list("a/", [&](result<ports::key_range> received)
                   { range = std::move(received); });
        fake_upstream_call& call = *transport.calls.back();
        call.head(200, {});
        call.part(body);
        reset_peak_memory();
        const std::size_t before = peak_memory();
        call.end();
        // Memory that is returned in the meantime lowers what is read.
        const std::size_t growth = std::max(peak_memory(), before) - before;
        CHECK_TEXT(before > 0, "the peak of memory is unknown");
        CHECK_TEXT(growth < max_parsed_bytes, body.substr(0, 30).c_str());
        CHECK(range && !*range);
    }
}

TEST(many_values_group, a_text_of_more_values_than_the_limit_is_refused)
{
    const auto parse = [](std::size_t values)
    {
        std::string text = "[1";
        // The array itself is a value.
        for (std::size_t value = 2; value < values; ++value)
        {
            text += ",1";
        }
        return codecs::parse_json(text + "]", result_code::corrupt_value, "a");
    };
    CHECK(parse(max_values).has_value());
    CHECK(parse(max_values + 1).failure().code == result_code::corrupt_value);
}

TEST(many_values_group, a_configuration_of_the_largest_value_is_parsed)
{
    constexpr std::size_t value_bytes = 1 << 20;
    std::string text = R"({"Version":1,"Accounts":[)";
    for (int number = 0; text.size() < value_bytes - 100; ++number)
    {
        text += fmt::format(R"({{"Id":"{}","Keys":["{}"],"Rate":1}},)", number,
                            number);
    }
    text += "{}]}";
    CHECK(text.size() <= value_bytes);
    CHECK(
        codecs::parse_json(text, result_code::corrupt_value, "a").has_value());
}
