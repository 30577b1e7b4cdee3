#include "counted.hpp"

#include <iomanip>
#include <iostream>

#include <CLI/CLI.hpp>

namespace {

using namespace tarragonsill::Counted;

/// Prints figures; returns how many break their bound.
int
Print(std::vector<Figure> const& aFigures)
{
  int broken = 0;
  for (auto const& figure : aFigures) {
    std::cout << (figure.Holds() ? "ok      " : "BROKEN  ") << std::left
              << std::setw(52) << figure.mName << " " << std::setprecision(5)
              << figure.mValue << " " << figure.mUnit << " (at most "
              << figure.mMax << ")\n";
    broken += figure.Holds() ? 0 : 1;
  }
  return broken;
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app("Counted figures with bounds", "tarragonsill-counted");
  app.require_subcommand(1);
  int broken = 0;
  auto* packets = app.add_subcommand("packets", "Packet path and balance");
  packets->callback(
    [&] { broken = Print(PacketFigures()) + Print(CookieFigures()); });

  unsigned cores = 7;
  unsigned time = 20;
  auto* control = app.add_subcommand("control", "Control bytes of a zone");
  control->add_option("--cores", cores, "Entry VMs in the zone");
  control->add_option("--seconds", time, "Virtual time of each phase");
  control->callback([&] { broken = Print(ControlFigures(cores, time)); });

  std::string kind = "untracked";
  std::uint32_t flows = 10000;
  std::uint64_t count = 10000;
  auto* pass = app.add_subcommand("pass", "Pass packets, for callgrind");
  pass->add_option("--kind", kind, "untracked, answer, miss or cookie");
  pass->add_option("--flows", flows, "Open flows");
  pass->add_option("--packets", count, "Packets to pass");
  pass->callback([&] {
    if (kind == "cookie") {
      PassCookiePackets(flows, count);
    } else {
      PassPackets(kind, flows, count);
    }
  });
  CLI11_PARSE(app, aCount, aValues);
  return broken == 0 ? 0 : 1;
}
