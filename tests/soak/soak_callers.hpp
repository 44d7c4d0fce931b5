#ifndef HYSSOPDEAL_TESTS_SOAK_SOAK_CALLERS_HPP
#define HYSSOPDEAL_TESTS_SOAK_SOAK_CALLERS_HPP

/// @file
/// Callers and operators of a soak. Callers keep their connections open and use
/// them until they break.
///
/// Index: [soak_callers] [soak_operator]

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <hyssopdeal/protocol/service_document.hpp>

#include "soak/soak_world.hpp"

namespace hyssopdeal::soak
{

// [soak_callers] -------------------------------------------------------------

/// Sends calls of all kinds at random times to random entries.
class soak_callers
{
public:
    explicit soak_callers(soak_world& world);
    ~soak_callers();

    void start();
    void stop();

    /// Asks every running entry for the route that came with a version.
    void probe(std::uint64_t version);

    [[nodiscard]] std::size_t open() const noexcept;

private:
    struct call;
    void next();
    void send(std::size_t entry, route_kind kind, std::uint64_t version);
    void end(const std::shared_ptr<call>& one,
             const transport::http1_call_end& how);

    soak_world& world_;
    std::map<std::uint64_t, std::shared_ptr<call>> open_;
    std::uint64_t last_ = 0;
    bool running_ = false;
    transport::timer_handle timer_;
};

// [soak_operator] ------------------------------------------------------------

/// Changes the configuration, again and again, through any replica.
class soak_operator
{
public:
    explicit soak_operator(soak_world& world);
    ~soak_operator();

    /// Sends a new version until it is accepted.
    void change();

    /// Sends two new versions at once to two replicas.
    void race();

    /// Sends a document that must be refused.
    void send_invalid();

    /// Reads the document in force at a random replica.
    void read();

    /// Orders a move and follows it.
    void move(const std::string& target, bool bad,
              std::chrono::milliseconds duration,
              std::function<void(bool completed)> on_end);

    /// Orders or withdraws the evacuation of a failure domain, at up to eight
    /// replicas at once, until it is acknowledged.
    void evacuate(const std::string& domain, bool evacuated,
                  std::function<void()> on_acknowledged);

    /// @return Whether every order was accepted and the newest accepted
    ///     version has been read back since steady().
    [[nodiscard]] bool settled() const noexcept;
    void steady();

private:
    struct order;
    [[nodiscard]] protocol::service_document
    document_of(std::uint64_t version) const;
    using answer_handler =
        std::function<void(const transport::result<transport::http_response>&)>;
    void ask(transport::http_request request, const answer_handler& on_answer);
    void ask_replica(std::size_t replica, transport::http_request request,
                     const answer_handler& on_answer);
    struct evacuation_order;
    void send_evacuation(const std::shared_ptr<evacuation_order>& one);
    void put(const std::shared_ptr<order>& one);
    void follow_move(std::chrono::milliseconds left);
    void order_move(const transport::http_request& request,
                    std::chrono::milliseconds duration);

    soak_world& world_;
    std::uint64_t last_version_ = 0;
    std::size_t open_ = 0;
    /// Apart from the world's, so that the other orders of a seed stay as they
    /// were.
    std::mt19937_64 evacuations_random_;
    bool steady_ = false;
    bool read_back_ = false;
    std::vector<transport::http1_call> calls_;
    std::list<transport::timer_handle> timers_;
    std::function<void(bool)> on_move_end_;
};

} // namespace hyssopdeal::soak

#endif
