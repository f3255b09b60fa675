// banyankeel-demo: shows the product on loopback and checks the stated outcomes.

#include "tools/demo/demo.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app("Starts a two-region fleet on loopback and shows it. Exit status 0 only if every stated outcome held.");
    std::string deployment = "steigflug";
    std::string binaries;
    std::string examples;
    app.add_option("--deployment", deployment, "which example fleet")->check(CLI::IsMember({"steigflug", "aigaio"}));
    app.add_option("--binaries", binaries, "the folder of the programs")->required();
    app.add_option("--examples", examples, "the folder of the example configurations")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        using banyankeel::DemoPlan;
        banyankeel::Demo demo(deployment == "aigaio" ? DemoPlan::aigaio() : DemoPlan::steigflug(), binaries, examples);
        return demo.run() ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &e) {
        std::cerr << "banyankeel-demo: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
