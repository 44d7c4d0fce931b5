/// @file
/// The program standin-engine; see engine.hpp and standin_program.hpp.

#include "engine.hpp"
#include "standin_program.hpp"

int main(int argc, char** argv)
{
    using namespace hyssopdeal;
    const transport::system_clock clock;
    return standins::run_standin<standins::engine_settings>(
        argc, argv,
        [&clock](transport::event_loop& loop,
                 const standins::engine_settings& settings) {
            return std::make_unique<standins::engine>(loop, clock, settings);
        });
}
