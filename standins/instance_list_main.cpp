/// @file
/// The program standin-instance-list; see instance_list.hpp.

#include "instance_list.hpp"
#include "standin_program.hpp"

int main(int argc, char** argv)
{
    using namespace hyssopdeal;
    const transport::system_clock clock;
    return standins::run_standin<standins::instance_list_settings>(
        argc, argv,
        [&clock](transport::event_loop& loop,
                 const standins::instance_list_settings& settings) {
            return std::make_unique<standins::instance_list>(loop, clock,
                                                             settings);
        });
}
