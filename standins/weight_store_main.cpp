/// @file
/// The program standin-weight-store; see weight_store.hpp.

#include "standin_program.hpp"
#include "weight_store.hpp"

int main(int argc, char** argv)
{
    using namespace hyssopdeal;
    const transport::system_clock clock;
    return standins::run_standin<standins::weight_store_settings>(
        argc, argv,
        [&clock](transport::event_loop& loop,
                 const standins::weight_store_settings& settings) {
            return std::make_unique<standins::weight_store>(loop, clock,
                                                            settings);
        });
}
