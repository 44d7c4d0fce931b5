/// @file
/// The sessions of the fault matrix that are about one streamed answer.

#include "matrix_session.hpp"
#include "matrix_stream_world.hpp"

namespace hyssopdeal::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds before_the_end{70};
constexpr std::chrono::milliseconds notice{60};
constexpr std::chrono::seconds session_time{40};

} // namespace

void play_stream(matrix_world& world)
{
    matrix::stream_world streams(world);
    streams.open();
    world.run_for(session_time);
    streams.check();
}

void play_reclaim(matrix_world& world)
{
    matrix::stream_world streams(world);
    streams.open();
    world.after(before_the_end,
                [&streams] { streams.reclaim_engine(0, notice); });
    world.run_for(session_time);
    streams.check();
}

void play_drain(matrix_world& world)
{
    matrix::stream_world streams(world);
    streams.open();
    world.after(before_the_end, [&streams] { streams.drain_entry(0); });
    world.run_for(session_time);
    streams.check();
}

} // namespace hyssopdeal::tests
