#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::load
{

/// Compares an answer with the one that its prompt must get. Not thread safe.
class response_check
{
public:
    /// The answer to the prompt with `digest` has `tokens` tokens.
    response_check(std::uint64_t digest, std::int64_t tokens);

    /// Takes the next piece of the answer's text.
    void feed(std::string_view text);

    /// Returns how many whole tokens came.
    [[nodiscard]] std::int64_t received_tokens() const;

    /// Tells whether some text was not the right one at its place.
    [[nodiscard]] bool is_wrong() const;

    /// Tells whether all tokens came and nothing else.
    [[nodiscard]] bool is_complete() const;

private:
    std::uint64_t m_digest;
    std::int64_t m_tokens;
    /// The token that is being compared and the place in it.
    std::int64_t m_token_index = 0;
    std::string m_expected_token;
    std::size_t m_offset = 0;
    bool m_is_wrong = false;
};

} // namespace turmeric::load
