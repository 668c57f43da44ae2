#include <rapidcheck.h>

#include "libraries/domain/streaming/response_assembler.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;

namespace
{

std::vector<std::string> make_response(std::size_t length)
{
    std::vector<std::string> response;
    for (std::size_t index = 0; index < length; ++index)
    {
        response.push_back("t" + std::to_string(index));
    }
    return response;
}

response_chunk slice(const std::vector<std::string>& response, std::size_t from,
                     std::size_t to)
{
    return {static_cast<tokens>(from),
            {response.begin() + static_cast<long>(from),
             response.begin() + static_cast<long>(to)}};
}

} // namespace

TEST_GROUP(response_assembler_group){};

TEST(response_assembler_group, gives_each_token_once_and_in_order)
{
    CHECK(rc::check(
        "any split, repeat or order of chunks gives the complete response",
        []
        {
            std::size_t length = *rc::gen::inRange<std::size_t>(0, 60);
            std::vector<std::string> response = make_response(length);
            response_assembler subject;
            std::vector<std::string> delivered;
            tokens highest = 0;
            std::size_t chunks = *rc::gen::inRange<std::size_t>(0, 30);
            for (std::size_t count = 0; count <= chunks; ++count)
            {
                // The last attempt resumes after the last delivered token.
                bool is_last = count == chunks;
                std::size_t from =
                    is_last ? static_cast<std::size_t>(subject.delivered())
                            : *rc::gen::inRange<std::size_t>(0, length + 1);
                std::size_t to =
                    is_last ? length
                            : *rc::gen::inRange<std::size_t>(from, length + 1);
                result<std::vector<std::string>> ready =
                    subject.accept(slice(response, from, to));
                RC_ASSERT(ready.has_value());
                delivered.insert(delivered.end(), ready.value().begin(),
                                 ready.value().end());
                highest = std::max(highest, subject.delivered());
                RC_ASSERT(subject.delivered() == highest);
                RC_ASSERT(delivered.size() ==
                          static_cast<std::size_t>(subject.delivered()));
                RC_ASSERT(std::equal(delivered.begin(), delivered.end(),
                                     response.begin()));
                RC_ASSERT(!subject.is_complete());
            }
            RC_ASSERT(delivered == response);
            RC_ASSERT(
                subject.set_total(static_cast<tokens>(length)).has_value());
            RC_ASSERT(subject.is_complete());
        }));
}

TEST(response_assembler_group, is_incomplete_with_a_gap)
{
    std::vector<std::string> response = make_response(5);
    response_assembler subject;
    CHECK(subject.accept(slice(response, 0, 2)).value().size() == 2);
    CHECK(subject.accept(slice(response, 3, 5)).value().empty());
    CHECK_TRUE(subject.set_total(5).has_value());
    CHECK_FALSE(subject.is_complete());
    LONGS_EQUAL(2, subject.delivered());
    CHECK(subject.accept(slice(response, 1, 3)).value().size() == 3);
    CHECK_TRUE(subject.is_complete());
}

TEST(response_assembler_group, rejects_tokens_outside_of_the_response)
{
    std::vector<std::string> response = make_response(5);
    response_assembler subject;
    CHECK_FALSE(subject.accept({-1, {"t"}}).has_value());
    CHECK_FALSE(subject.accept({5000, {"t"}}).has_value());
    CHECK_TRUE(subject.accept(slice(response, 0, 4)).has_value());
    CHECK_FALSE(subject.set_total(3).has_value());
    CHECK_TRUE(subject.set_total(4).has_value());
    CHECK_FALSE(subject.set_total(5).has_value());
    CHECK_FALSE(subject.accept(slice(response, 3, 5)).has_value());
    CHECK_TRUE(subject.is_complete());
}
