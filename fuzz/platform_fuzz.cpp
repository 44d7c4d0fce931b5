/// @file
/// Fuzzes what the platform's listeners and calls decode: the document, the
/// instance list, version moves, settings, heads of requests, what servers and
/// the platform answer, and the messages between our own processes.

#include <cstddef>
#include <cstdint>
#include <string>

#include <hyssopdeal/coordination/cluster/cluster_state.hpp>
#include <hyssopdeal/coordination/gateway/event_splitter.hpp>
#include <hyssopdeal/protocol/engine_orders.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/protocol/platform_api.hpp>

#include "platform/documents.hpp"
#include "platform/messages.hpp"
#include "platform/settings.hpp"

using namespace hyssopdeal;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    if (const auto document = platform::decode_document(bytes))
    {
        (void)protocol::check(*document);
    }
    (void)platform::decode_list_page(bytes);
    (void)platform::decode_rollout(bytes);
    (void)platform::read_settings(bytes);
    (void)platform::platform_dialect::parse_request(
        {"POST",
         bytes,
         {{"X-Token-Counts", bytes},
          {"X-Prompt-Prefix", bytes},
          {"X-Deadline-Ms", bytes},
          {"Connection", bytes}},
         ""});
    (void)protocol::read_engine_status(bytes);
    (void)protocol::read_engine_load(bytes);
    (void)protocol::read_notices({200, {}, bytes});
    (void)protocol::read_weight_answer({202, {}, bytes});
    (void)protocol::decode_entry_report(bytes);
    (void)protocol::decode_entry_orders(bytes);
    (void)protocol::unpack_text(bytes);
    (void)protocol::decode_token_request(bytes);
    (void)protocol::decode_token_answer(bytes);
    (void)protocol::decode_join_message(bytes);
    (void)protocol::decode_join_answer(bytes);
    (void)coordination::decode_cluster_command(bytes);
    (void)coordination::cluster_state{}.restore_snapshot(bytes);
    coordination::event_splitter events;
    events.feed(bytes);
    while (const auto event = events.next_event())
    {
        (void)coordination::event_splitter::event_id(*event);
    }
    return 0;
}
