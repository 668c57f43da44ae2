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

/// Tokens of an answer in the order that an attempt sent them.
struct response_chunk
{
    /// Position of the first token in the whole answer.
    tokens offset = 0;
    /// The text of each token.
    std::vector<std::string> texts;
};

/// Joins the chunks of successive or overlapping attempts into one answer:
/// each token comes out once and in order. Not thread safe.
class response_assembler
{
public:
    /// The most tokens held for a gap before them.
    static constexpr std::size_t max_pending_tokens = 4096;

    /// Takes a chunk and returns the texts that are next in the answer, which
    /// may be none. Errors with `stream_broken`: a negative offset, tokens
    /// past the answer's end, or more than `max_pending_tokens` behind a gap;
    /// the state is then unchanged. Not thread safe.
    result<std::vector<std::string>> accept(const response_chunk& chunk);

    /// Records that the answer has `total` tokens. Error `stream_broken`:
    /// another total was given or tokens past it were seen. Not thread safe.
    status set_total(tokens total);

    /// Returns the tokens given out, which are to be billed and are the
    /// offset to resume at. Not thread safe.
    [[nodiscard]] tokens delivered() const;

    /// Tells whether the end is known and reached. Not thread safe.
    [[nodiscard]] bool is_complete() const;

private:
    tokens m_next = 0;
    std::optional<tokens> m_total;
    std::map<tokens, std::string> m_pending;
};

} // namespace turmeric::domain
