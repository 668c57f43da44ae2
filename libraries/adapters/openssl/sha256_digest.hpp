#pragma once

#include "libraries/ports/secure_digest.hpp"

namespace turmeric::adapters
{

/// Computes digests with SHA-256. Thread safe.
class sha256_digest final : public ports::secure_digest
{
public:
    [[nodiscard]] std::uint64_t
    digest_of(const std::vector<std::string_view>& texts) const override;
};

} // namespace turmeric::adapters
