#pragma once

#include "libraries/ports/store_era.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace turmeric::drivers
{

/// The prefix of the keys of all prepaid records.
inline constexpr std::string_view prepaid_record_prefix =
    "turmericfront/tokens/";

/// Names the record of one account in one era of the store. A change that was
/// planned in an era names that era's key, so that the store cannot apply it to
/// the record of a later era, whatever revisions it gives out again.
struct prepaid_record_key
{
    ports::store_era era = 0;
    std::string account;
};

/// Returns the key in the store. Thread safe.
[[nodiscard]] std::string write_record_key(const prepaid_record_key& key);

/// Returns the record that a key of the store names; nothing if the key is
/// malformed. Precondition: `text` begins with the prefix. Thread safe.
[[nodiscard]] std::optional<prepaid_record_key>
read_record_key(std::string_view text);

} // namespace turmeric::drivers
