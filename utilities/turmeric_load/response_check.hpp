#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::load
{

/// Compares the text of a response with the text that the stand-in engine
/// generates for the same prompt. Not thread safe.
class response_check
{
public:
    /// Expects the response of `tokens` tokens to the prompt with `digest`.
    response_check(std::uint64_t digest, std::int64_t tokens);

    /// Compares the next piece of the response's text.
    void feed(std::string_view text);

    /// Returns how many complete tokens were received.
    [[nodiscard]] std::int64_t received_tokens() const;

    /// Tells whether some text differed from the expected text at its
    /// position.
    [[nodiscard]] bool is_wrong() const;

    /// Tells whether exactly the expected tokens were received.
    [[nodiscard]] bool is_complete() const;

private:
    std::uint64_t m_digest;
    std::int64_t m_tokens;
    /// The token that is being compared, and the offset reached in its text.
    std::int64_t m_token_index = 0;
    std::string m_expected_token;
    std::size_t m_offset = 0;
    bool m_is_wrong = false;
};

} // namespace turmeric::load
