#include "counted.hpp"

#include <iomanip>
#include <iostream>

#include <CLI/CLI.hpp>

namespace {

using namespace tarragonsill::Counted;

/// Prints figures and returns how many exceed their bound.
int
Print(std::vector<Figure> const& aFigures)
{
  int violations = 0;
  for (auto const& figure : aFigures) {
    std::cout << (figure.IsWithinBound() ? "ok      " : "BROKEN  ") << std::left
              << std::setw(52) << figure.mName << " " << std::setprecision(5)
              << figure.mValue << " " << figure.mUnit << " (at most "
              << figure.mMax << ")\n";
    violations += figure.IsWithinBound() ? 0 : 1;
  }
  return violations;
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app("Counted figures with bounds", "tarragonsill-counted");
  app.require_subcommand(1);
  int violations = 0;
  auto* packets = app.add_subcommand("packets", "Packet path and balance");
  packets->callback(
    [&] { violations = Print(PacketFigures()) + Print(CookieFigures()); });

  unsigned cores = 7;
  unsigned phaseSeconds = 20;
  auto* control = app.add_subcommand("control", "Control bytes of a zone");
  control->add_option("--cores", cores, "Entry VMs in the zone");
  control->add_option("--seconds", phaseSeconds, "Virtual time of each phase");
  control->callback(
    [&] { violations = Print(ControlFigures(cores, phaseSeconds)); });

  unsigned vms = 17;
  unsigned upstreams = 38;
  unsigned loadSeconds = 20;
  auto* loads = app.add_subcommand("loads", "Load reports in a zone");
  loads->add_option("--vms", vms, "Entry VMs in the zone");
  loads->add_option("--upstreams", upstreams, "Upstreams in the zone");
  loads->add_option("--seconds", loadSeconds, "Virtual time");
  loads->callback([&] {
    violations = Print(LoadReportFigures(vms, upstreams, loadSeconds));
  });

  std::string kind = "untracked";
  std::uint32_t flows = 10000;
  std::uint64_t count = 10000;
  auto* forward = app.add_subcommand("pass", "Forward packets, for callgrind");
  forward->add_option("--kind", kind, "untracked, answer, miss or cookie");
  forward->add_option("--flows", flows, "Open flows");
  forward->add_option("--packets", count, "Packets to forward");
  forward->callback([&] {
    if (kind == "cookie") {
      ForwardCookiePackets(flows, count);
    } else {
      ForwardPackets(kind, flows, count);
    }
  });
  CLI11_PARSE(app, aCount, aValues);
  return violations == 0 ? 0 : 1;
}
