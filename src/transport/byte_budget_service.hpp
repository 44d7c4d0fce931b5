#ifndef HYSSOPDEAL_SRC_TRANSPORT_BYTE_BUDGET_SERVICE_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_BYTE_BUDGET_SERVICE_HPP

/// @file
/// Internal: keeps the byte budget of an Asio context, where the sockets that
/// RESTinio creates find it.
///
/// Index: [byte_budget_service]

#include <memory>

#include <asio/io_context.hpp>

#include <hyssopdeal/transport/byte_budget.hpp>

namespace hyssopdeal::transport
{

// [byte_budget_service] ------------------------------------------------------

/// Used on the loop's thread, or before it runs.
class byte_budget_service : public asio::execution_context::service
{
public:
    explicit byte_budget_service(asio::execution_context& context)
        : asio::execution_context::service(context)
    {}

    static asio::execution_context::id id;

    std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>();

    /// Whether a server of the context copies bodies when it hands on requests.
    bool copies_bodies = false;

private:
    void shutdown() override {}
};

} // namespace hyssopdeal::transport

#endif
