#ifndef HYSSOPDEAL_STANDINS_KV_TRANSFER_HPP
#define HYSSOPDEAL_STANDINS_KV_TRANSFER_HPP

/// @file
/// Export and import of an engine stand-in's KV cache: the hashes of the
/// blocks travel, and the import takes as long as their bytes would.
///
/// Index: [kv_transfer]

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_server.hpp>

#include "prefix_cache.hpp"

namespace hyssopdeal::standins
{

/// Path below which exported blocks are read: `GET /v1/kv/HANDLE`.
inline constexpr std::string_view kv_path = "/v1/kv/";

// [kv_transfer] --------------------------------------------------------------

/// Holds what was exported and fetches what is imported; use it on the loop's
/// thread.
class kv_transfer
{
public:
    kv_transfer(transport::event_loop& loop, const transport::clock& clock,
                prefix_cache& cache);

    /// Answers `POST /v1/kv/export/{ATTEMPT}`.
    ///
    /// @param text Prompt and all text of the answer so far.
    [[nodiscard]] transport::http_response
    export_blocks(std::string_view attempt, std::string_view text);

    /// Answers `GET /v1/kv/{HANDLE}`, which the importing engine sends.
    [[nodiscard]] transport::http_response
    stored_blocks(std::string_view handle) const;

    /// Answers `POST /v1/kv/import` when the blocks have arrived.
    ///
    /// @param bytes_per_ms Speed of the transfer.
    void import_blocks(const std::string& body, std::uint64_t bytes_per_ms,
                       transport::http_responder responder);

private:
    void fetched(const transport::result<transport::http_response>& answer,
                 std::uint64_t bytes_per_ms,
                 transport::http_responder responder);

    transport::event_loop& loop_;
    const transport::clock& clock_;
    prefix_cache& cache_;
    transport::http_client client_;
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::string, std::vector<std::uint64_t>> exported_;
    std::unordered_map<std::uint64_t, transport::http_call> imports_;
    std::unordered_map<std::uint64_t, transport::timer_handle> delays_;
};

} // namespace hyssopdeal::standins

#endif
