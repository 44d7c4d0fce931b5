#ifndef HYSSOPDEAL_SRC_COORDINATION_ENTRY_INSPECTION_HPP
#define HYSSOPDEAL_SRC_COORDINATION_ENTRY_INSPECTION_HPP

/// @file
/// Internal: `/metrics` and the `/debug` pages of an entry process.
///
/// Index: [metrics_page] [debug_pages]

#include <string>
#include <string_view>

#include <hyssopdeal/transport/http_server.hpp>

#include "entry_shard.hpp"

namespace hyssopdeal::coordination
{

// [metrics_page] -------------------------------------------------------------

/// @return Prometheus text of all shards, added up.
[[nodiscard]] std::string metrics_page(const entry_shared& shared);

// [debug_pages] --------------------------------------------------------------

/// Answers `/debug/members|routes|streams|grants` with a JSON object that
/// holds one list; tables of other shards are asked for on their threads.
///
/// @param shard The shard that got the request.
/// @param page What follows /debug/.
void answer_debug(entry_shard& shard, std::string_view page,
                  transport::http_responder responder);

} // namespace hyssopdeal::coordination

#endif
