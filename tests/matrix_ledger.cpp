/// @file
/// The session of a call that may run only once: its caller sends it again and
/// again with one key until it is answered.

#include <algorithm>
#include <array>
#include <memory>

#include <fmt/format.h>

#include <hyssopdeal/coordination/ledger_client.hpp>

#include "coordination/ledger_wire.hpp"
#include "matrix_control_world.hpp"
#include "matrix_session.hpp"

namespace hyssopdeal::tests
{

namespace
{

using namespace std::chrono_literals;
using namespace coordination;

constexpr std::chrono::milliseconds caller_patience{3'000};
constexpr std::chrono::milliseconds service_patience{1'000};
constexpr std::chrono::milliseconds service_work{10};
constexpr std::chrono::milliseconds ledger_tick{50};
constexpr std::chrono::milliseconds dispatch_limit{2'500};
constexpr std::uint64_t most_sends = 10;

// What an entry tells the caller.
enum class told : std::uint8_t
{
    nothing,
    answered,
    not_run,
    may_have_run
};

struct sim_dispatcher
{
    std::size_t node = 0;
    std::unique_ptr<ledger_client> ledger;
};

class ledger_session
{
public:
    explicit ledger_session(matrix_world& world)
        : world_(world),
          control_(world, 3)
    {
        for (std::size_t at = 0; at < entries_.size(); ++at)
        {
            entries_[at].node = world.add_node(
                fmt::format("entry-{}", at + 1), fmt::format("d{}", at + 1),
                {[this, at](node_end) { entries_[at].ledger.reset(); },
                 [this, at] { start(at); }});
            start(at);
        }
        service_ = world.add_node("service", "d3", {});
        caller_ = world.add_node("caller", "outside", {});
    }

    void play()
    {
        constexpr std::chrono::milliseconds election{1'600};
        world_.run_for(election);
        send();
        world_.run_until([this] { return answered_; }, 40s, 6s);
        check();
    }

private:
    void start(std::size_t at)
    {
        ledger_client_settings settings;
        settings.entry = fmt::format("entry-{}", at + 1);
        settings.dispatch_limit = dispatch_limit;
        auto& self = entries_[at];
        self.ledger = std::make_unique<ledger_client>(
            settings, world_.clock(),
            [this, at](const std::string& to, const std::string& payload,
                       std::chrono::milliseconds limit,
                       ledger_client::reply_handler on_reply) {
                call_replica(at, to, payload, limit, std::move(on_reply));
            },
            world_.random());
        self.ledger->set_replicas({"control-1", "control-2", "control-3"});
        tick(at);
    }

    void tick(std::size_t at)
    {
        entries_[at].ledger->tick();
        world_.after(entries_[at].node, ledger_tick, [this, at] { tick(at); });
    }

    // A call on the ledger channel, with its time limit.
    void call_replica(std::size_t at, const std::string& to,
                      const std::string& payload,
                      std::chrono::milliseconds limit,
                      ledger_client::reply_handler on_reply)
    {
        const auto place = static_cast<std::size_t>(to.back() - '1');
        const auto node = entries_[at].node;
        const auto once =
            std::make_shared<ledger_client::reply_handler>(std::move(on_reply));
        const auto answer = [once](transport::result<std::string> reply) {
            if (*once)
            {
                const auto handler = std::exchange(*once, {});
                handler(std::move(reply));
            }
        };
        world_.after(node, limit, [answer] {
            answer(transport::fail(transport::reason::timed_out, "",
                                   transport::verdict::may_have_run));
        });
        world_.send(node, control_.replicas()[place].node, "ledger",
                    [this, place, node, payload, answer] {
                        on_ledger(place, node, payload, answer);
                    });
    }

    template <class Answer>
    void on_ledger(std::size_t place, std::size_t node,
                   const std::string& payload, Answer answer)
    {
        auto command = decode_ledger_request(payload);
        if (!command)
        {
            return;
        }
        control_.propose(
            place, std::move(*command),
            [this, place, node, answer](const auto& result) {
                const auto& self = control_.replicas()[place];
                const auto leader =
                    self.machine->status(world_.now()).leads.leader;
                world_.send(self.node, node, "ledger reply",
                            [answer, bytes = encode_ledger_reply(
                                         {result, leader})] { answer(bytes); });
            });
    }

    // The caller -------------------------------------------------------------

    void send()
    {
        if (answered_ || sends_ >= most_sends)
        {
            return;
        }
        const auto number = ++sends_;
        const auto at = number % entries_.size();
        world_.send(caller_, entries_[at].node, "book",
                    [this, at, number] { take_request(at, number); });
        world_.after(caller_patience, [this, number] {
            if (sends_ == number)
            {
                any_lost_ = any_lost_ || heard_ < number;
                send();
            }
        });
    }

    void tell(std::size_t at, std::uint64_t number, told what)
    {
        world_.send(entries_[at].node, caller_,
                    fmt::format("told {}", static_cast<int>(what)),
                    [this, number, what] { hear(number, what); });
    }

    void hear(std::uint64_t number, told what)
    {
        heard_ = std::max(heard_, number);
        answered_ = answered_ || what == told::answered;
        any_may_have_run_ = any_may_have_run_ || what == told::may_have_run;
        not_run_ += what == told::not_run ? 1 : 0;
        if (!answered_ && number == sends_)
        {
            world_.after(200ms, [this, number] {
                if (sends_ == number)
                {
                    send();
                }
            });
        }
    }

    // The entries ------------------------------------------------------------

    void take_request(std::size_t at, std::uint64_t number)
    {
        if (world_.breaks(matrix_break::dispatch_before_claim))
        {
            run_service(at, {}, number);
        }
        entries_[at].ledger->claim(
            "orchard", "key-1", ledger_digest("POST", "/bookings", "{}"),
            [this, at, number](const ledger_answer& answer) {
                on_claim(at, number, answer);
            });
    }

    void on_claim(std::size_t at, std::uint64_t number,
                  const ledger_answer& answer)
    {
        switch (answer.verdict)
        {
        case ledger_verdict::replay:
            return tell(at, number, told::answered);
        case ledger_verdict::refuse:
            return tell(at, number,
                        answer.failure.ran == transport::verdict::not_run
                            ? told::not_run
                            : told::may_have_run);
        case ledger_verdict::dispatch:
            break;
        }
        // The request waits for a server for a moment.
        world_.after(entries_[at].node, 5ms,
                     [this, at, number, claim = answer.claim] {
                         dispatch(at, claim, number);
                     });
    }

    void dispatch(std::size_t at, const ledger_claim& claim,
                  std::uint64_t number)
    {
        if (world_.breaks(matrix_break::dispatch_before_claim))
        {
            return;
        }
        const bool late = !entries_[at].ledger->may_dispatch(claim);
        if (late && !world_.breaks(matrix_break::dispatch_late))
        {
            return tell(at, number, told::may_have_run);
        }
        if (world_.now() >= claim.dispatch_until)
        {
            world_.violation("A call was dispatched after its claim's time.");
        }
        run_service(at, claim, number);
    }

    void run_service(std::size_t at, const ledger_claim& claim,
                     std::uint64_t number)
    {
        const auto done = std::make_shared<bool>(false);
        const auto arrived = std::make_shared<bool>(false);
        world_.send(entries_[at].node, service_, "run",
                    [this, at, claim, number, done, arrived] {
                        if (std::exchange(*arrived, true))
                        {
                            return; // One connection brings a request once.
                        }
                        ++runs_;
                        world_.after(service_, service_work,
                                     [this, at, claim, number, done] {
                                         answer_call(at, claim, number, done);
                                     });
                    });
        world_.after(entries_[at].node, service_patience,
                     [this, at, claim, number, done] {
                         if (*done)
                         {
                             return;
                         }
                         *done = true;
                         if (world_.breaks(matrix_break::release_after_send))
                         {
                             entries_[at].ledger->release(claim);
                         }
                         tell(at, number, told::may_have_run);
                     });
    }

    void answer_call(std::size_t at, const ledger_claim& claim,
                     std::uint64_t number, const std::shared_ptr<bool>& done)
    {
        world_.send(service_, entries_[at].node, "ran",
                    [this, at, claim, number, done] {
                        if (*done || !entries_[at].ledger)
                        {
                            return;
                        }
                        *done = true;
                        state::call_outcome outcome;
                        outcome.status = 201;
                        if (claim.number != 0)
                        {
                            entries_[at].ledger->finish(claim, outcome);
                        }
                        tell(at, number, told::answered);
                    });
    }

    void check()
    {
        if (runs_ > 1)
        {
            world_.violation(fmt::format("The call ran {} times.", runs_));
        }
        if (answered_ && runs_ == 0)
        {
            world_.violation("The call was answered and never ran.");
        }
        if (not_run_ == sends_ && runs_ > 0)
        {
            world_.violation("The call ran although its caller was told "
                             "not_run each time.");
        }
        if (!answered_ && !any_lost_ && !any_may_have_run_ &&
            control_.can_agree() && world_.crashes() == 0 && not_run_ < sends_)
        {
            world_.violation("The call was never answered.");
        }
    }

    matrix_world& world_;
    matrix::control_world control_;
    std::array<sim_dispatcher, 2> entries_;
    std::size_t service_ = 0;
    std::size_t caller_ = 0;
    std::uint64_t sends_ = 0;
    std::uint64_t heard_ = 0;
    std::uint64_t not_run_ = 0;
    std::uint64_t runs_ = 0;
    bool answered_ = false;
    bool any_lost_ = false;
    bool any_may_have_run_ = false;
};

} // namespace

void play_at_most_once(matrix_world& world)
{
    ledger_session(world).play();
}

} // namespace hyssopdeal::tests
