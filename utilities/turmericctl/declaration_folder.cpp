#include "utilities/turmericctl/declaration_folder.hpp"

#include "libraries/codecs/configuration/configuration_codec.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>

namespace turmeric::ctl
{

namespace
{

namespace files = std::filesystem;

constexpr const char* version_file = ".version";
constexpr int indent = 2;

error settings_unreadable(const files::path& file, const std::string& detail)
{
    return error{result_code::settings_unreadable, file.string(), detail};
}

result<std::string> read_file(const files::path& file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
    {
        return settings_unreadable(file, "expected a readable file");
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

status write_file(const files::path& file, const std::string& text)
{
    std::ofstream stream(file, std::ios::binary | std::ios::trunc);
    stream << text;
    stream.close();
    return stream
               ? success()
               : status(settings_unreadable(file, "expected a writable file"));
}

result<std::vector<files::path>> declaration_files(const std::string& folder)
{
    std::error_code failure;
    std::vector<files::path> found;
    files::recursive_directory_iterator entry(folder, failure);
    if (failure)
    {
        return settings_unreadable(folder, "expected a readable folder");
    }
    for (; entry != files::recursive_directory_iterator();
         entry.increment(failure))
    {
        if (entry->path().extension() == ".json" && entry->is_regular_file())
        {
            found.push_back(entry->path());
        }
    }
    if (found.empty())
    {
        return settings_unreadable(folder, "expected at least one *.json file");
    }
    std::sort(found.begin(), found.end());
    return found;
}

result<json> parse_file(const files::path& file)
{
    const result<std::string> text = read_file(file);
    if (!text)
    {
        return text.failure();
    }
    try
    {
        return json::parse(text.value());
    }
    catch (const json::parse_error& failure)
    {
        return error{result_code::settings_malformed, file.string(),
                     failure.what()};
    }
}

/// Adds the declarations of one file. `seen` collects the declarations of all
/// files, to find duplicates.
status add_file(const files::path& file, domain::configuration& seen,
                folder_content& content)
{
    result<json> parsed = parse_file(file);
    if (!parsed)
    {
        return parsed.failure();
    }
    const bool is_list = parsed.value().is_array();
    const json list = is_list ? parsed.value() : json::array({parsed.value()});
    std::size_t index = 0;
    for (const json& declaration : list)
    {
        const std::string location =
            file.string() +
            (is_list ? '[' + std::to_string(index) + ']' : std::string());
        status decoded =
            codecs::decode_declaration(declaration, location, seen);
        if (!decoded)
        {
            return decoded;
        }
        content.declarations.push_back(declaration);
        ++index;
    }
    return success();
}

result<std::int64_t> read_version(const std::string& folder)
{
    const files::path file = files::path(folder) / version_file;
    std::ifstream stream(file);
    if (!stream)
    {
        return std::int64_t{0};
    }
    std::int64_t version = 0;
    if (!(stream >> version) || version < 0)
    {
        return error{result_code::settings_malformed, file.string(),
                     "expected a version number"};
    }
    return version;
}

} // namespace

result<folder_content> read_declaration_folder(const std::string& folder)
{
    const result<std::vector<files::path>> found = declaration_files(folder);
    if (!found)
    {
        return found.failure();
    }
    folder_content content;
    domain::configuration seen;
    for (const files::path& file : found.value())
    {
        const status added = add_file(file, seen, content);
        if (!added)
        {
            return added.failure();
        }
    }
    const result<std::int64_t> version = read_version(folder);
    if (!version)
    {
        return version.failure();
    }
    content.base_version = version.value();
    return content;
}

status write_declaration_folder(const std::string& folder,
                                const folder_content& content)
{
    std::error_code failure;
    files::create_directories(folder, failure);
    std::map<std::string, json> by_kind;
    for (const json& declaration : content.declarations)
    {
        const std::string kind = declaration.at("kind").get<std::string>();
        by_kind.try_emplace(kind, json::array())
            .first->second.push_back(declaration);
    }
    for (const auto& [kind, list] : by_kind)
    {
        const files::path file = files::path(folder) / (kind + "s.json");
        status written = write_file(file, list.dump(indent) + '\n');
        if (!written)
        {
            return written;
        }
    }
    return write_version_file(folder, content.base_version);
}

status write_version_file(const std::string& folder, std::int64_t version)
{
    return write_file(files::path(folder) / version_file,
                      std::to_string(version) + '\n');
}

} // namespace turmeric::ctl
