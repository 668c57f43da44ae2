#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/router_batch.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// A batch on its way to the process that commits its shard.
struct forwarded_batch
{
    std::int32_t shard = 0;
    domain::router_batch batch;
};

/// Returns the batch as JSON. Thread safe.
[[nodiscard]] std::string encode_batch(std::int32_t shard,
                                       const domain::router_batch& batch);

/// Reads what `encode_batch` wrote. Thread safe. Errors: `peer_protocol`.
result<forwarded_batch> decode_batch(std::string_view text);

/// Returns the outcome as JSON. Thread safe.
[[nodiscard]] std::string encode_batch_reply(const domain::batch_reply& reply);

/// Reads what `encode_batch_reply` wrote. Thread safe. Errors: `peer_protocol`.
result<domain::batch_reply> decode_batch_reply(std::string_view text);

} // namespace turmeric::codecs
