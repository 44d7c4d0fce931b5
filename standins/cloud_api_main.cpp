/// @file
/// The program standin-cloud-api; see cloud_api.hpp.

#include "cloud_api.hpp"
#include "standin_program.hpp"

int main(int argc, char** argv)
{
    using namespace hyssopdeal;
    const transport::system_clock clock;
    return standins::run_standin<standins::cloud_api_settings>(
        argc, argv,
        [&clock](transport::event_loop& loop,
                 const standins::cloud_api_settings& settings) {
            return std::make_unique<standins::cloud_api>(loop, clock, settings);
        });
}
