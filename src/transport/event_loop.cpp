#include <hyssopdeal/transport/event_loop.hpp>

#include <csignal>
#include <utility>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

namespace hyssopdeal::transport
{

struct timer_handle::impl
{
    explicit impl(asio::io_context& context)
        : timer(context)
    {}

    asio::steady_timer timer;
    bool cancelled = false;
};

timer_handle::timer_handle() noexcept = default;

timer_handle::timer_handle(std::shared_ptr<impl> state) noexcept
    : state_(std::move(state))
{}

timer_handle::timer_handle(timer_handle&&) noexcept = default;

timer_handle& timer_handle::operator=(timer_handle&& other) noexcept
{
    cancel();
    state_ = std::move(other.state_);
    return *this;
}

timer_handle::~timer_handle()
{
    cancel();
}

void timer_handle::cancel() noexcept
{
    if (!state_)
    {
        return;
    }
    state_->cancelled = true;
    asio::error_code ignored;
    state_->timer.cancel(ignored);
    state_.reset();
}

struct event_loop::impl
{
    std::vector<std::shared_ptr<void>> kept; // destroyed after the context
    std::vector<std::function<void()>> before_end;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{
        context.get_executor()};
    std::unique_ptr<asio::signal_set> signals;
    std::function<void(int)> signal_handler;

    void wait_for_signal()
    {
        signals->async_wait([this](const asio::error_code& error, int number) {
            if (error)
            {
                return;
            }
            signal_handler(number);
            wait_for_signal();
        });
    }
};

event_loop::event_loop()
    : impl_(std::make_unique<impl>())
{}

event_loop::~event_loop()
{
    for (const auto& let_go : impl_->before_end)
    {
        let_go();
    }
}

void event_loop::post(std::function<void()> handler)
{
    asio::post(impl_->context, std::move(handler));
}

timer_handle event_loop::after(std::chrono::nanoseconds delay,
                               std::function<void()> handler)
{
    auto state = std::make_shared<timer_handle::impl>(impl_->context);
    state->timer.expires_after(delay);
    state->timer.async_wait(
        [state, run = std::move(handler)](const asio::error_code& error) {
            if (!error && !state->cancelled)
            {
                run();
            }
        });
    return timer_handle{std::move(state)};
}

void event_loop::run()
{
    impl_->context.run();
}

void event_loop::run_for(std::chrono::nanoseconds duration)
{
    impl_->context.restart();
    impl_->context.run_for(duration);
}

void event_loop::stop()
{
    impl_->context.stop();
}

void event_loop::on_signal(std::function<void(int)> handler)
{
    impl_->signal_handler = std::move(handler);
    impl_->signals = std::make_unique<asio::signal_set>(impl_->context, SIGTERM,
                                                        SIGINT, SIGHUP);
    impl_->wait_for_signal();
}

void event_loop::keep(std::shared_ptr<void> object,
                      std::function<void()> before_end)
{
    impl_->kept.push_back(std::move(object));
    impl_->before_end.push_back(std::move(before_end));
}

asio::io_context& event_loop::context() noexcept
{
    return impl_->context;
}

void mask_stop_signals(int how)
{
    sigset_t handled;
    sigemptyset(&handled);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
    {
        sigaddset(&handled, number);
    }
    pthread_sigmask(how, &handled, nullptr);
}

} // namespace hyssopdeal::transport
