/// @file
/// The operating system's files in one folder.

#include <hyssopdeal/state/files.hpp>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <map>

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace hyssopdeal::state
{

namespace
{

namespace fs = std::filesystem;

constexpr mode_t file_mode = 0600;

tl::unexpected<transport::failure> failed(std::string_view what,
                                          std::string_view name, int error)
{
    // EFBIG: a limit of the process or of the file system on one file.
    const bool full = error == ENOSPC || error == EDQUOT || error == EFBIG;
    return transport::fail(
        full ? transport::reason::storage_full
             : transport::reason::storage_failed,
        fmt::format("{} of {} failed: {}.", what, name, std::strerror(error)));
}

/// An open file, closed at the end.
class descriptor
{
public:
    explicit descriptor(int number)
        : number_(number)
    {}
    descriptor(descriptor&& other) noexcept
        : number_(std::exchange(other.number_, -1))
    {}
    descriptor& operator=(descriptor&& other) noexcept
    {
        std::swap(number_, other.number_);
        return *this;
    }
    ~descriptor()
    {
        if (number_ >= 0)
        {
            ::close(number_);
        }
    }

    [[nodiscard]] int number() const noexcept
    {
        return number_;
    }

private:
    int number_;
};

} // namespace

struct posix_files::impl
{
    std::string folder;
    std::map<std::string, descriptor, std::less<>> open; ///< For appending.

    [[nodiscard]] std::string path(std::string_view name) const
    {
        return folder + "/" + std::string{name};
    }

    transport::result<int> open_file(std::string_view name, int flags)
    {
        const auto found = open.find(name);
        if (found != open.end())
        {
            return found->second.number();
        }
        const int number =
            ::open(path(name).c_str(), O_WRONLY | O_CLOEXEC | flags, file_mode);
        if (number < 0)
        {
            return failed("Open", path(name), errno);
        }
        open.emplace(std::string{name}, descriptor{number});
        return number;
    }

    void forget(std::string_view name)
    {
        const auto found = open.find(name);
        if (found != open.end())
        {
            open.erase(found);
        }
    }
};

posix_files::posix_files(std::string folder)
    : impl_(std::make_unique<impl>())
{
    impl_->folder = std::move(folder);
    std::error_code ignored; // list() reports a folder that is not there
    fs::create_directories(impl_->folder, ignored);
}

posix_files::posix_files(posix_files&&) noexcept = default;
posix_files& posix_files::operator=(posix_files&&) noexcept = default;
posix_files::~posix_files() = default;

// [reading] ------------------------------------------------------------------

transport::result<std::vector<std::string>> posix_files::list()
{
    std::error_code error;
    std::vector<std::string> names;
    for (fs::directory_iterator at{impl_->folder, error}, end;
         !error && at != end; at.increment(error))
    {
        if (at->is_regular_file())
        {
            names.push_back(at->path().filename().string());
        }
    }
    if (error)
    {
        return failed("Listing", impl_->folder, error.value());
    }
    return names;
}

transport::result<std::string> posix_files::read(std::string_view name)
{
    const auto path = impl_->path(name);
    const descriptor file{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
    if (file.number() < 0)
    {
        return failed("Open", path, errno);
    }
    std::string bytes;
    constexpr std::size_t step = 1'048'576;
    while (true)
    {
        const std::size_t had = bytes.size();
        bytes.resize(had + step);
        const ssize_t got = ::read(file.number(), bytes.data() + had, step);
        if (got < 0 && errno != EINTR)
        {
            return failed("Read", path, errno);
        }
        bytes.resize(had + static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        if (got == 0)
        {
            return bytes;
        }
    }
}

// [writing] ------------------------------------------------------------------

transport::result<void> posix_files::create(std::string_view name,
                                            std::string_view bytes)
{
    impl_->forget(name);
    const auto file = impl_->open_file(name, O_CREAT | O_TRUNC | O_APPEND);
    if (!file)
    {
        return tl::make_unexpected(file.error());
    }
    return append(name, bytes);
}

transport::result<void> posix_files::append(std::string_view name,
                                            std::string_view bytes)
{
    const auto file = impl_->open_file(name, O_APPEND);
    if (!file)
    {
        return tl::make_unexpected(file.error());
    }
    while (!bytes.empty())
    {
        const ssize_t wrote = ::write(*file, bytes.data(), bytes.size());
        if (wrote < 0 && errno != EINTR)
        {
            return failed("Write", impl_->path(name), errno);
        }
        bytes.remove_prefix(
            static_cast<std::size_t>(std::max<ssize_t>(wrote, 0)));
    }
    return {};
}

transport::result<void> posix_files::truncate(std::string_view name,
                                              std::uint64_t size)
{
    const auto path = impl_->path(name);
    if (::truncate(path.c_str(), static_cast<off_t>(size)) != 0)
    {
        return failed("Truncation", path, errno);
    }
    return {};
}

transport::result<void> posix_files::sync(std::string_view name)
{
    const auto file = impl_->open_file(name, O_APPEND);
    if (!file)
    {
        return tl::make_unexpected(file.error());
    }
    if (::fdatasync(*file) != 0)
    {
        return failed("Sync", impl_->path(name), errno);
    }
    return {};
}

transport::result<void> posix_files::rename(std::string_view from,
                                            std::string_view to)
{
    impl_->forget(from);
    impl_->forget(to);
    if (::rename(impl_->path(from).c_str(), impl_->path(to).c_str()) != 0)
    {
        return failed("Rename", impl_->path(from), errno);
    }
    return {};
}

transport::result<void> posix_files::remove(std::string_view name)
{
    impl_->forget(name);
    if (::unlink(impl_->path(name).c_str()) != 0)
    {
        return failed("Removal", impl_->path(name), errno);
    }
    return {};
}

transport::result<void> posix_files::sync_folder()
{
    const descriptor folder{
        ::open(impl_->folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (folder.number() < 0 || ::fsync(folder.number()) != 0)
    {
        return failed("Sync", impl_->folder, errno);
    }
    return {};
}

static_assert(file_access<posix_files>);

} // namespace hyssopdeal::state
