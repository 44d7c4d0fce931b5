#ifndef HYSSOPDEAL_TESTS_FAKE_CONTROL_HPP
#define HYSSOPDEAL_TESTS_FAKE_CONTROL_HPP

/// @file
/// A small operators' API on a thread of its own, for tests of hyssopctl: one
/// table of records with revisions, order ids, and set faults.
///
/// Index: [fake_control]

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_server.hpp>

namespace hyssopdeal::tests
{

// [fake_control] -------------------------------------------------------------

/// Serves until it is destroyed. Members are locked: the test's thread sets
/// the faults.
class fake_control
{
public:
    fake_control();
    ~fake_control();
    fake_control(const fake_control&) = delete;
    fake_control& operator=(const fake_control&) = delete;

    /// @return `IP:port`.
    [[nodiscard]] std::string address() const;

    /// Answers the next writes after applying them by closing the connection.
    void lose_answers(int count);

    /// Names another leader in every answer; empty: leads itself.
    void set_leader(std::string leader);

    /// Says which index all members have applied.
    void set_applied(std::uint64_t index);

    /// Writes a record behind the client's back.
    void overwrite(const std::string& target, const std::string& body);

    /// @return How many writes have taken effect.
    [[nodiscard]] std::uint64_t writes() const;

private:
    struct record
    {
        std::string body;
        std::uint64_t revision = 0;
    };

    void handle(const transport::http_request& request,
                transport::http_responder responder);
    transport::http_response answer(const transport::http_request& request);
    transport::http_response read(const std::string& target);
    transport::http_response write(const transport::http_request& request);

    mutable std::mutex mutex_;
    std::map<std::string, record> records_;
    std::map<std::string, transport::http_response> answered_;
    std::uint64_t index_ = 0;
    std::uint64_t applied_ = ~std::uint64_t{0};
    std::uint64_t writes_ = 0;
    int answers_to_lose_ = 0;
    std::string leader_;
    transport::event_loop loop_;
    transport::http_server server_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace hyssopdeal::tests

#endif
