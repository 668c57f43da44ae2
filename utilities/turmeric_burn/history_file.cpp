#include "utilities/turmeric_burn/history_file.hpp"

#include "libraries/codecs/burn/history_codec.hpp"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <system_error>
#include <utility>

namespace turmeric::burn
{

namespace
{

/// Removes a last line without a line end, which a crash truncated.
void remove_truncated_line(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
    {
        return;
    }
    std::uintmax_t complete_bytes = 0;
    std::string line;
    while (std::getline(in, line) && !in.eof())
    {
        complete_bytes += line.size() + 1;
    }
    std::error_code ignored;
    if (std::filesystem::file_size(path, ignored) != complete_bytes)
    {
        std::filesystem::resize_file(path, complete_bytes, ignored);
    }
}

} // namespace

history_file::history_file(std::string path)
    : m_path(std::move(path))
{
}

result<std::vector<domain::burn_sample>>
history_file::read(std::chrono::system_clock::time_point oldest) const
{
    std::vector<domain::burn_sample> samples;
    std::ifstream in(m_path);
    std::string line;
    int line_number = 0;
    while (!m_path.empty() && std::getline(in, line))
    {
        ++line_number;
        const bool is_truncated = in.eof();
        const result<domain::burn_sample> sample = codecs::decode_sample(line);
        if (!sample && is_truncated)
        {
            break;
        }
        if (!sample)
        {
            return error{result_code::corrupt_value,
                         fmt::format("{}:{}", m_path, line_number),
                         sample.failure().field + ": " +
                             sample.failure().detail};
        }
        if (sample.value().time >= oldest)
        {
            samples.push_back(sample.value());
        }
    }
    return samples;
}

status
history_file::append(const std::vector<domain::burn_sample>& samples) const
{
    if (m_path.empty())
    {
        return success();
    }
    remove_truncated_line(m_path);
    std::string text;
    for (const domain::burn_sample& sample : samples)
    {
        text += codecs::encode_sample(sample);
        text += '\n';
    }
    std::ofstream out(m_path, std::ios::app | std::ios::binary);
    out << text;
    out.flush();
    if (!out)
    {
        return error{result_code::settings_unreadable, m_path,
                     "the samples cannot be written"};
    }
    return success();
}

} // namespace turmeric::burn
