#ifndef HYSSOPDEAL_STATE_FILES_HPP
#define HYSSOPDEAL_STATE_FILES_HPP

/// @file
/// Access to the files of one data folder: the concept that log storage needs,
/// and the operating system's files.
///
/// Index: [file_access] [posix_files]

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::state
{

// [file_access] --------------------------------------------------------------

/// Files of one folder by name. What was written lasts only once sync() or,
/// for names, sync_folder() has returned without an error.
template <class Files>
concept file_access = requires(Files files, std::string_view name,
                               std::string_view bytes, std::uint64_t size)
{
    {
        files.list()
        } -> std::same_as<transport::result<std::vector<std::string>>>;
    {
        files.read(name)
        } -> std::same_as<transport::result<std::string>>;
    {
        files.create(name, bytes)
        } -> std::same_as<transport::result<void>>;
    {
        files.append(name, bytes)
        } -> std::same_as<transport::result<void>>;
    {
        files.truncate(name, size)
        } -> std::same_as<transport::result<void>>;
    {
        files.sync(name)
        } -> std::same_as<transport::result<void>>;
    {
        files.rename(name, name)
        } -> std::same_as<transport::result<void>>;
    {
        files.remove(name)
        } -> std::same_as<transport::result<void>>;
    {
        files.sync_folder()
        } -> std::same_as<transport::result<void>>;
};

// [posix_files] --------------------------------------------------------------

/// The operating system's files in one folder; used by one thread.
class posix_files
{
public:
    /// @param folder Made when it does not exist.
    explicit posix_files(std::string folder);
    posix_files(posix_files&&) noexcept;
    posix_files& operator=(posix_files&&) noexcept;
    ~posix_files();

    [[nodiscard]] transport::result<std::vector<std::string>> list();
    [[nodiscard]] transport::result<std::string> read(std::string_view name);
    [[nodiscard]] transport::result<void> create(std::string_view name,
                                                 std::string_view bytes);
    [[nodiscard]] transport::result<void> append(std::string_view name,
                                                 std::string_view bytes);
    [[nodiscard]] transport::result<void> truncate(std::string_view name,
                                                   std::uint64_t size);
    [[nodiscard]] transport::result<void> sync(std::string_view name);
    [[nodiscard]] transport::result<void> rename(std::string_view from,
                                                 std::string_view to);
    [[nodiscard]] transport::result<void> remove(std::string_view name);
    [[nodiscard]] transport::result<void> sync_folder();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::state

#endif
