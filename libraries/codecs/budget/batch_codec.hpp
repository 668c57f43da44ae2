#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/router_batch.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// A router's batch, forwarded to the process that commits its shard.
struct forwarded_batch
{
    std::int32_t shard = 0;
    domain::router_batch batch;
};

/// Encodes a batch and the number of its shard as JSON. Thread safe.
[[nodiscard]] std::string encode_batch(std::int32_t shard,
                                       const domain::router_batch& batch);

/// Decodes the text that `encode_batch` returns. Errors: `peer_protocol` with
/// the missing or malformed field. Thread safe.
result<forwarded_batch> decode_batch(std::string_view text);

/// Encodes the reply to a batch as JSON. Thread safe.
[[nodiscard]] std::string encode_batch_reply(const domain::batch_reply& reply);

/// Decodes the text that `encode_batch_reply` returns. Errors: `peer_protocol`
/// with the missing or malformed field. Thread safe.
result<domain::batch_reply> decode_batch_reply(std::string_view text);

} // namespace turmeric::codecs
