#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace turmeric::ports
{

/// Computes digests of texts that callers choose. Nobody can find another text
/// for a given digest. Implementations are thread safe.
class secure_digest
{
public:
    secure_digest() = default;
    secure_digest(const secure_digest&) = delete;
    secure_digest& operator=(const secure_digest&) = delete;
    virtual ~secure_digest() = default;

    /// Returns a digest of the texts in their order, the same on every VM.
    /// Thread safe.
    [[nodiscard]] virtual std::uint64_t
    digest_of(const std::vector<std::string_view>& texts) const = 0;
};

} // namespace turmeric::ports
