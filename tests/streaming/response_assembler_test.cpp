#include <rapidcheck.h>

#include "libraries/domain/streaming/answer_assembler.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;

namespace
{

std::vector<std::string> make_answer(std::size_t length)
{
    std::vector<std::string> answer;
    for (std::size_t index = 0; index < length; ++index)
    {
        answer.push_back("t" + std::to_string(index));
    }
    return answer;
}

answer_chunk cut(const std::vector<std::string>& answer, std::size_t from,
                 std::size_t to)
{
    return {static_cast<tokens>(from),
            {answer.begin() + static_cast<long>(from),
             answer.begin() + static_cast<long>(to)}};
}

} // namespace

TEST_GROUP(assembler){};

TEST(assembler, gives_each_token_once_and_in_order)
{
    CHECK(rc::check(
        "chunks cut, repeated and out of order give the whole answer",
        []
        {
            std::size_t length = *rc::gen::inRange<std::size_t>(0, 60);
            std::vector<std::string> answer = make_answer(length);
            answer_assembler subject;
            std::vector<std::string> got;
            tokens highest = 0;
            std::size_t chunks = *rc::gen::inRange<std::size_t>(0, 30);
            for (std::size_t count = 0; count <= chunks; ++count)
            {
                // The last attempt resumes where the caller's copy ends.
                bool is_last = count == chunks;
                std::size_t from =
                    is_last ? static_cast<std::size_t>(subject.delivered())
                            : *rc::gen::inRange<std::size_t>(0, length + 1);
                std::size_t to =
                    is_last ? length
                            : *rc::gen::inRange<std::size_t>(from, length + 1);
                result<std::vector<std::string>> ready =
                    subject.accept(cut(answer, from, to));
                RC_ASSERT(ready.has_value());
                got.insert(got.end(), ready.value().begin(),
                           ready.value().end());
                highest = std::max(highest, subject.delivered());
                RC_ASSERT(subject.delivered() == highest);
                RC_ASSERT(got.size() ==
                          static_cast<std::size_t>(subject.delivered()));
                RC_ASSERT(std::equal(got.begin(), got.end(), answer.begin()));
                RC_ASSERT(!subject.is_whole());
            }
            RC_ASSERT(got == answer);
            RC_ASSERT(subject.end_at(static_cast<tokens>(length)).has_value());
            RC_ASSERT(subject.is_whole());
        }));
}

TEST(assembler, is_not_whole_with_a_gap)
{
    std::vector<std::string> answer = make_answer(5);
    answer_assembler subject;
    CHECK(subject.accept(cut(answer, 0, 2)).value().size() == 2);
    CHECK(subject.accept(cut(answer, 3, 5)).value().empty());
    CHECK_TRUE(subject.end_at(5).has_value());
    CHECK_FALSE(subject.is_whole());
    LONGS_EQUAL(2, subject.delivered());
    CHECK(subject.accept(cut(answer, 1, 3)).value().size() == 3);
    CHECK_TRUE(subject.is_whole());
}

TEST(assembler, refuses_tokens_outside_of_the_answer)
{
    std::vector<std::string> answer = make_answer(5);
    answer_assembler subject;
    CHECK_FALSE(subject.accept({-1, {"t"}}).has_value());
    CHECK_FALSE(subject.accept({5000, {"t"}}).has_value());
    CHECK_TRUE(subject.accept(cut(answer, 0, 4)).has_value());
    CHECK_FALSE(subject.end_at(3).has_value());
    CHECK_TRUE(subject.end_at(4).has_value());
    CHECK_FALSE(subject.end_at(5).has_value());
    CHECK_FALSE(subject.accept(cut(answer, 3, 5)).has_value());
    CHECK_TRUE(subject.is_whole());
}
