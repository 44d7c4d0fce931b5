#include <hyssopdeal/protocol/span_writer.hpp>
#include <hyssopdeal/transport/json_text.hpp>

#include <cerrno>
#include <cstring>
#include <utility>

#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace hyssopdeal::protocol
{

using nlohmann::ordered_json;
using transport::fail;
using transport::reason;
using transport::result;

namespace
{

constexpr std::size_t max_kept_bytes = 4'194'304;
constexpr int file_mode = 0640;

/// A file that is closed at the end.
class open_file
{
public:
    open_file() = default;
    open_file(const open_file&) = delete;
    open_file& operator=(const open_file&) = delete;

    ~open_file()
    {
        if (number_ >= 0)
        {
            ::close(number_);
        }
    }

    bool open_for_append(const std::string& path)
    {
        number_ = ::open(path.c_str(),
                         O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, file_mode);
        return number_ >= 0;
    }

    [[nodiscard]] ssize_t write(std::string_view bytes) const
    {
        return ::write(number_, bytes.data(), bytes.size());
    }

private:
    int number_ = -1;
};

ordered_json text_attribute(std::string_view key, std::string_view value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

std::string nanoseconds_text(span_time time)
{
    return std::to_string(time.time_since_epoch().count());
}

ordered_json to_json(const span& finished)
{
    const auto& context = finished.context;
    ordered_json written = {
        {"traceId",
         fmt::format("{:016x}{:016x}", context.trace_high, context.trace_low)},
        {"spanId", fmt::format("{:016x}", context.span)}};
    if (finished.parent != 0)
    {
        written["parentSpanId"] = fmt::format("{:016x}", finished.parent);
    }
    written["name"] = finished.name;
    written["kind"] = static_cast<int>(finished.kind);
    written["startTimeUnixNano"] = nanoseconds_text(finished.start);
    written["endTimeUnixNano"] = nanoseconds_text(finished.end);
    written["attributes"] = ordered_json::array();
    for (const auto& attribute : finished.attributes)
    {
        written["attributes"].push_back(
            text_attribute(attribute.key, attribute.value));
    }
    written["status"] = {{"code", static_cast<int>(finished.status)}};
    return written;
}

} // namespace

struct span_writer::impl
{
    std::string path;
    std::string instance;
    open_file file;
    std::string kept; // whole lines
    std::uint64_t dropped = 0;
};

span_writer::span_writer(std::string path, std::string instance)
    : impl_(std::make_unique<impl>())
{
    impl_->path = std::move(path);
    impl_->instance = std::move(instance);
}

span_writer::~span_writer()
{
    flush();
}

result<void> span_writer::open()
{
    if (!impl_->file.open_for_append(impl_->path))
    {
        return fail(reason::storage_failed,
                    fmt::format("Cannot open {}: {}.", impl_->path,
                                std::strerror(errno)));
    }
    return {};
}

void span_writer::add(const span& finished)
{
    if (impl_->kept.size() > max_kept_bytes)
    {
        ++impl_->dropped;
        return;
    }
    const ordered_json resource = {
        {"attributes",
         {text_attribute("service.name", "hyssopdeal"),
          text_attribute("service.instance.id", impl_->instance)}}};
    const ordered_json scope = {
        {"scope", {{"name", "hyssopdeal"}}},
        {"spans", ordered_json::array({to_json(finished)})}};
    const ordered_json request = {
        {"resourceSpans",
         ordered_json::array(
             {{{"resource", resource},
               {"scopeSpans", ordered_json::array({scope})}}})}};
    impl_->kept += transport::json_text(request);
    impl_->kept += '\n';
}

// Lines of several writers do not mix: one write appends them all.
void span_writer::flush()
{
    if (impl_->kept.empty())
    {
        return;
    }
    const auto written = impl_->file.write(impl_->kept);
    if (written > 0)
    {
        impl_->kept.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t span_writer::dropped() const noexcept
{
    return impl_->dropped;
}

} // namespace hyssopdeal::protocol
