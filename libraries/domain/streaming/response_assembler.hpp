#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Consecutive tokens of a response that one attempt received.
struct response_chunk
{
    /// Position of the first token in the complete response.
    tokens offset = 0;
    /// The text of each token.
    std::vector<std::string> texts;
};

/// Joins the chunks of successive or overlapping attempts into one response:
/// each token is returned once and in order. Not thread safe.
class response_assembler
{
public:
    /// Tokens after a gap are held if they are at most this many beyond the
    /// last returned token.
    static constexpr std::size_t max_pending_tokens = 4096;

    /// Adds a chunk and returns the texts that come next in the response, which
    /// may be none. Errors with `stream_broken`: the offset is negative, tokens
    /// are past the end of the response, or tokens after a gap are more than
    /// `max_pending_tokens` beyond the last returned one. The state is then
    /// unchanged. Not thread safe.
    result<std::vector<std::string>> accept(const response_chunk& chunk);

    /// Sets the number of tokens of the response. Error `stream_broken`:
    /// another total was set, or tokens beyond `total` were received. Not
    /// thread safe.
    status set_total(tokens total);

    /// Returns how many tokens were returned so far. These are billed, and the
    /// number is the offset at which to resume. Not thread safe.
    [[nodiscard]] tokens delivered() const;

    /// Returns whether the total is set and all its tokens were returned. Not
    /// thread safe.
    [[nodiscard]] bool is_complete() const;

private:
    tokens m_next = 0;
    std::optional<tokens> m_total;
    std::map<tokens, std::string> m_pending;
};

} // namespace turmeric::domain
