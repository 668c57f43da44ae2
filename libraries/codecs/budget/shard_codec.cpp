#include "libraries/codecs/budget/shard_codec.hpp"

#include "libraries/codecs/budget/base64_number.hpp"
#include "libraries/codecs/common/json_reader.hpp"

#include <array>
#include <utility>

namespace turmeric::codecs
{

namespace
{

using domain::bill_page;
using domain::bill_record;
using domain::budget_account;
using domain::budget_shard;
using domain::grant_record;
using domain::incarnation_record;
using domain::sys_seconds;
using domain::tokens;
using domain::top_up_record;

// The widths of a packed bill's fields, in base-64 digits.
constexpr int key_digits = 11;
constexpr int body_digits = 6;
constexpr int used_digits = 6;
constexpr int slot_digits = 2;
constexpr int bill_digits =
    key_digits + body_digits + used_digits + slot_digits;

std::int64_t seconds_since_epoch(sys_seconds time)
{
    return time.time_since_epoch().count();
}

sys_seconds time_from_seconds(std::int64_t number)
{
    return sys_seconds(std::chrono::seconds(number));
}

json encode_account(const budget_account& account)
{
    json top_ups = json::array();
    for (const top_up_record& top_up : account.top_ups)
    {
        top_ups.push_back(
            {top_up.id, top_up.amount, seconds_since_epoch(top_up.applied_at)});
    }
    json grants = json::array();
    for (const grant_record& grant : account.grants)
    {
        grants.push_back(
            {grant.slot, grant.granted, grant.settled, grant.rate});
    }
    return json::array({std::move(top_ups), account.older_top_ups,
                        account.settled_by_removed_grants, std::move(grants),
                        seconds_since_epoch(account.recalled_until)});
}

json encode_incarnation(const incarnation_record& record)
{
    return json::array({record.name, record.slot, record.last_operation,
                        seconds_since_epoch(record.term_end),
                        static_cast<int>(record.state),
                        seconds_since_epoch(record.frozen_at)});
}

json encode_page(const bill_page& page)
{
    std::string packed;
    packed.reserve(page.bills.size() * bill_digits);
    for (const bill_record& bill : page.bills)
    {
        append_base64_number(packed, bill.key, key_digits);
        append_base64_number(packed, bill.body_digest, body_digits);
        append_base64_number(packed, static_cast<std::uint64_t>(bill.used),
                             used_digits);
        append_base64_number(packed, static_cast<std::uint64_t>(bill.slot),
                             slot_digits);
    }
    return json::array(
        {seconds_since_epoch(page.durable_at), std::move(packed)});
}

error corrupt_shard(const char* field)
{
    return error{result_code::corrupt_value, field,
                 "the stored budget shard is malformed or inconsistent"};
}

/// Tells whether `row` is an array of `size` elements that are integers, except
/// for a string at the index `string_column`.
bool has_column_types(const json& row, std::size_t size,
                      std::size_t string_column)
{
    if (!row.is_array() || row.size() != size)
    {
        return false;
    }
    for (std::size_t i = 0; i < size; ++i)
    {
        const bool has_expected_type = i == string_column
                                           ? row[i].is_string()
                                           : row[i].is_number_integer();
        if (!has_expected_type)
        {
            return false;
        }
    }
    return true;
}

constexpr std::size_t no_string_column = ~std::size_t{0};

bool decode_top_ups(const json& rows, budget_account& account)
{
    for (const json& row : rows)
    {
        if (!has_column_types(row, 3, 0))
        {
            return false;
        }
        account.top_ups.push_back(
            {row[0].get<std::string>(), row[1].get<tokens>(),
             time_from_seconds(row[2].get<std::int64_t>())});
    }
    return true;
}

bool decode_grants(const json& rows, budget_account& account)
{
    for (const json& row : rows)
    {
        if (!has_column_types(row, 4, no_string_column))
        {
            return false;
        }
        account.grants.push_back({row[0].get<std::int32_t>(),
                                  row[1].get<tokens>(), row[2].get<tokens>(),
                                  row[3].get<tokens>()});
    }
    return true;
}

bool decode_account(const json& row, budget_account& account)
{
    constexpr std::size_t columns = 5;
    if (!row.is_array() || row.size() != columns || !row[0].is_array() ||
        !row[1].is_number_integer() || !row[2].is_number_integer() ||
        !row[3].is_array() || !row[4].is_number_integer())
    {
        return false;
    }
    account.older_top_ups = row[1].get<tokens>();
    account.settled_by_removed_grants = row[2].get<tokens>();
    account.recalled_until = time_from_seconds(row[4].get<std::int64_t>());
    return decode_top_ups(row[0], account) && decode_grants(row[3], account);
}

bool decode_incarnation(const json& row, incarnation_record& record)
{
    constexpr std::size_t columns = 6;
    if (!has_column_types(row, columns, 0))
    {
        return false;
    }
    record.name = row[0].get<std::string>();
    record.slot = row[1].get<std::int32_t>();
    record.last_operation = row[2].get<std::int64_t>();
    record.term_end = time_from_seconds(row[3].get<std::int64_t>());
    record.state = row[4].get<int>() == 0 ? domain::grant_state::active
                                          : domain::grant_state::frozen;
    record.frozen_at = time_from_seconds(row[5].get<std::int64_t>());
    return true;
}

bool decode_bill(std::string_view packed, bill_record& bill)
{
    constexpr std::array<int, 4> widths{key_digits, body_digits, used_digits,
                                        slot_digits};
    std::array<std::uint64_t, 4> values{};
    std::size_t position = 0;
    for (std::size_t i = 0; i < widths.size(); ++i)
    {
        const std::size_t width = static_cast<std::size_t>(widths[i]);
        const std::optional<std::uint64_t> value =
            read_base64_number(packed.substr(position, width));
        if (!value.has_value())
        {
            return false;
        }
        values[i] = *value;
        position += width;
    }
    bill.key = values[0];
    bill.body_digest = static_cast<std::uint32_t>(values[1]);
    bill.used = static_cast<tokens>(values[2]);
    bill.slot = static_cast<std::int32_t>(values[3]);
    return true;
}

bool decode_page(const json& row, bill_page& page)
{
    constexpr std::size_t columns = 2;
    if (!has_column_types(row, columns, 1))
    {
        return false;
    }
    page.durable_at = time_from_seconds(row[0].get<std::int64_t>());
    const std::string& packed = row[1].get_ref<const std::string&>();
    if (packed.size() % bill_digits != 0)
    {
        return false;
    }
    const std::string_view all = packed;
    for (std::size_t position = 0; position < all.size();
         position += bill_digits)
    {
        bill_record bill;
        if (!decode_bill(all.substr(position, bill_digits), bill))
        {
            return false;
        }
        page.bills.push_back(bill);
    }
    return true;
}

template <class Record>
bool decode_rows(const json& rows, std::vector<Record>& records,
                 bool (*decode)(const json&, Record&))
{
    for (const json& row : rows)
    {
        Record record;
        if (!decode(row, record))
        {
            return false;
        }
        records.push_back(std::move(record));
    }
    return true;
}

} // namespace

std::string encode_shard(const budget_shard& shard)
{
    json budgets = json::object();
    for (const auto& [key, account] : shard.budgets)
    {
        budgets[key] = encode_account(account);
    }
    json incarnations = json::array();
    for (const incarnation_record& record : shard.incarnations)
    {
        incarnations.push_back(encode_incarnation(record));
    }
    json pages = json::array();
    for (const bill_page& page : shard.bill_pages)
    {
        pages.push_back(encode_page(page));
    }
    json value;
    value["budgets"] = std::move(budgets);
    value["incarnations"] = std::move(incarnations);
    value["bills"] = std::move(pages);
    value["slot"] = shard.next_slot;
    return value.dump();
}

result<budget_shard> decode_shard(std::string_view text)
{
    result<json> parsed = parse_json(text, result_code::corrupt_value, "shard");
    if (!parsed)
    {
        return parsed.failure();
    }
    const json& value = parsed.value();
    const bool has_all_fields =
        value.is_object() && value.contains("budgets") &&
        value["budgets"].is_object() && value.contains("incarnations") &&
        value["incarnations"].is_array() && value.contains("bills") &&
        value["bills"].is_array() && value.contains("slot") &&
        value["slot"].is_number_integer();
    if (!has_all_fields)
    {
        return corrupt_shard("shard");
    }
    budget_shard shard;
    shard.next_slot = value["slot"].get<std::int32_t>();
    for (const auto& [key, row] : value["budgets"].items())
    {
        if (!decode_account(row, shard.budgets[key]))
        {
            return corrupt_shard("budgets");
        }
    }
    if (!decode_rows(value["incarnations"], shard.incarnations,
                     decode_incarnation))
    {
        return corrupt_shard("incarnations");
    }
    if (!decode_rows(value["bills"], shard.bill_pages, decode_page))
    {
        return corrupt_shard("bills");
    }
    if (!domain::is_consistent(shard))
    {
        return corrupt_shard("budgets");
    }
    return shard;
}

} // namespace turmeric::codecs
