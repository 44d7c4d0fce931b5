#include <hyssopdeal/coordination/entry_catalog.hpp>

#include <algorithm>
#include <utility>

#include <hyssopdeal/transport/digest.hpp>

namespace hyssopdeal::coordination
{

namespace
{

constexpr std::size_t bucket_digits = 6;

// "/a" matches "/a", "/a/b" and "/a?x", not "/ab".
bool matches_prefix(std::string_view path, std::string_view prefix) noexcept
{
    if (!path.starts_with(prefix))
    {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() ||
           path[prefix.size()] == '/';
}

} // namespace

entry_catalog::entry_catalog(protocol::control_view view)
    : view_(std::move(view))
{
    for (std::size_t at = 0; at < view_.contracts.size(); ++at)
    {
        for (const auto& digest : view_.contracts[at].key_sha256)
        {
            keys_[digest.substr(0, bucket_digits)].push_back({digest, at});
        }
    }
}

const protocol::organisation_contract*
entry_catalog::find_by_key(std::string_view key) const
{
    const auto digest = transport::sha256_hex(key);
    const auto bucket = keys_.find(digest.substr(0, bucket_digits));
    if (bucket == keys_.end())
    {
        return nullptr;
    }
    const protocol::organisation_contract* found = nullptr;
    for (const auto& entry : bucket->second)
    {
        if (transport::same_secret(entry.digest, digest))
        {
            found = &view_.contracts[entry.contract];
        }
    }
    return found;
}

const protocol::service*
entry_catalog::find_service(std::string_view name) const
{
    const auto found =
        std::find_if(view_.services.begin(), view_.services.end(),
                     [name](const auto& item) { return item.name == name; });
    return found == view_.services.end() ? nullptr : &*found;
}

const protocol::route* entry_catalog::find_route(const protocol::service& in,
                                                 std::string_view method,
                                                 std::string_view path)
{
    const protocol::route* best = nullptr;
    for (const auto& candidate : in.routes)
    {
        const bool fits =
            (candidate.method == "*" || candidate.method == method) &&
            matches_prefix(path, candidate.path_prefix);
        const bool longer = best == nullptr || candidate.path_prefix.size() >
                                                   best->path_prefix.size();
        if (fits && longer)
        {
            best = &candidate;
        }
    }
    return best;
}

const protocol::control_view& entry_catalog::view() const noexcept
{
    return view_;
}

} // namespace hyssopdeal::coordination
