/// @file
/// The program standin-plain-service; see plain_service.hpp.

#include "plain_service.hpp"
#include "standin_program.hpp"

int main(int argc, char** argv)
{
    using namespace hyssopdeal;
    const transport::system_clock clock;
    return standins::run_standin<standins::plain_service_settings>(
        argc, argv,
        [&clock](transport::event_loop& loop,
                 const standins::plain_service_settings& settings) {
            return std::make_unique<standins::plain_service>(loop, clock,
                                                             settings);
        });
}
