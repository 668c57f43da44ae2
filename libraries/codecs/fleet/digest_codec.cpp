#include "libraries/codecs/fleet/digest_codec.hpp"

#include "libraries/core/json.hpp"

#include <utility>

namespace turmeric::codecs
{

namespace
{

/// The version of the form; a router of another one is not understood.
constexpr std::int64_t form = 5;

error not_understood(const char* what)
{
    return {result_code::peer_protocol, what, "a peer's digest is not readable",
            outcome::not_run};
}

/// Returns the number at a place of an array, or nothing.
bool read_number(const json& row, std::size_t place, std::int64_t& number)
{
    if (!row.is_array() || row.size() <= place ||
        !row[place].is_number_integer())
    {
        return false;
    }
    number = row[place].get<std::int64_t>();
    return true;
}

} // namespace

std::string write_digest(const peer_digest& digest)
{
    json load = json::object();
    for (const auto& [id, placed] : digest.load)
    {
        load[id] = {placed.requests, placed.unread_tokens};
    }
    json accounts = json::object();
    for (const auto& [name, account] : digest.accounts)
    {
        accounts[name] = {account.used, account.held, account.free,
                          account.rate};
    }
    const json whole = {form,
                        digest.incarnation,
                        digest.sequence,
                        digest.configuration_version,
                        digest.is_leaving,
                        digest.is_store_silent,
                        std::move(load),
                        std::move(accounts)};
    const std::vector<std::uint8_t> bytes = json::to_cbor(whole);
    return std::string(bytes.begin(), bytes.end());
}

result<peer_digest> read_digest(std::string_view bytes)
{
    constexpr std::size_t places = 8;
    const json whole = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    std::int64_t sent_form = 0;
    if (!whole.is_array() || whole.size() != places ||
        !read_number(whole, 0, sent_form) || sent_form != form)
    {
        return not_understood("form");
    }
    peer_digest digest;
    if (!whole[1].is_string() || !read_number(whole, 2, digest.sequence) ||
        !read_number(whole, 3, digest.configuration_version) ||
        !whole[4].is_boolean() || !whole[5].is_boolean() ||
        !whole[6].is_object() || !whole[7].is_object())
    {
        return not_understood("fields");
    }
    digest.incarnation = whole[1].get<std::string>();
    digest.is_leaving = whole[4].get<bool>();
    digest.is_store_silent = whole[5].get<bool>();
    for (const auto& [id, row] : whole[6].items())
    {
        domain::upstream_load load;
        if (!read_number(row, 0, load.requests) ||
            !read_number(row, 1, load.unread_tokens))
        {
            return not_understood("load");
        }
        digest.load.emplace(id, load);
    }
    for (const auto& [name, row] : whole[7].items())
    {
        peer_account account;
        if (!read_number(row, 0, account.used) ||
            !read_number(row, 1, account.held) ||
            !read_number(row, 2, account.free) ||
            !read_number(row, 3, account.rate))
        {
            return not_understood("accounts");
        }
        digest.accounts.emplace(name, account);
    }
    return digest;
}

} // namespace turmeric::codecs
