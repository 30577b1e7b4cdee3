#include "tarragonsill/cli/tarragonsill_cli.hpp"

#include <iomanip>
#include <iostream>
#include <map>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace tarragonsill {

namespace {

constexpr milliseconds kTimeout{ 2000 };
constexpr int kHttpOk = 200;

/// Fetches a JSON page from an entry VM.
Result<nlohmann::json>
FetchJson(std::string const& aEntry,
          std::string const& aPath,
          httplib::Params const& aParameters)
{
  auto const address = ParseEndpoint(aEntry);
  if (!address) {
    return address.LastReason();
  }
  httplib::Client client(ToText(address->mAddress), address->mPort);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  auto const answer = client.Get(aPath, aParameters, httplib::Headers{});
  if (!answer) {
    return Reason{ ReasonCode::Unavailable,
                   "entry VM at " + aEntry + " does not answer" };
  }
  auto json = nlohmann::json::parse(answer->body, nullptr, false);
  if (!json.is_object()) {
    return Reason{ ReasonCode::Malformed,
                   "entry VM at " + aEntry + " did not return JSON" };
  }
  if (answer->status != kHttpOk) {
    return Reason{ ReasonCode::Invalid, json.value("error", "refused") };
  }
  return json;
}

std::string
JoinNames(nlohmann::json const& aList)
{
  std::string text;
  for (auto const& item : aList) {
    text += (text.empty() ? "" : ", ") + item.get<std::string>();
  }
  return text;
}

void
PrintEntry(nlohmann::json const& aStatus)
{
  auto const counter = [&](char const* aName) {
    return aStatus["counters"].value(
      "tarragonsill_" + std::string(aName) + "_total", std::uint64_t{ 0 });
  };
  std::cout << std::left << std::setw(16) << aStatus.value("entry", "")
            << std::setw(12) << aStatus.value("zone", "") << std::setw(9)
            << aStatus.value("stage", "") << " version "
            << aStatus.value("configuration_version", 0) << "  leases "
            << aStatus.value("leases", 0) << "  exceptions "
            << aStatus.value("exceptions", 0) << "  flows admitted "
            << counter("flows_admitted") << "  packets "
            << counter("packets_received") << '\n';
}

void
PrintUpstreams(std::vector<nlohmann::json> const& aStatuses)
{
  std::map<std::string, nlohmann::json> upstreams;
  for (auto const& status : aStatuses) {
    for (auto const& upstream : status["upstreams"]) {
      auto& row = upstreams[upstream.value("name", "")];
      bool const isMoreComplete =
        row.is_null() || upstream.contains("connections");
      if (isMoreComplete) {
        row = upstream;
      }
    }
  }
  for (auto const& [name, row] : upstreams) {
    std::cout << std::left << std::setw(16) << name << std::setw(14)
              << row.value("service", "") << std::setw(12)
              << row.value("zone", "")
              << (row.value("takes_new_work", false) ? "open    " : "closed  ")
              << "owner " << std::setw(14) << row.value("owner", "");
    if (row.contains("connections")) {
      std::cout << " connections " << row["connections"]
                << (row.value("cold", false) ? " (warming up)" : "");
    }
    std::cout << '\n';
  }
}

} // namespace

int
ShowStatus(std::vector<std::string> const& aEntries, bool aJson)
{
  std::vector<nlohmann::json> statuses;
  int result = ExitStatus::kOk;
  for (auto const& entry : aEntries) {
    auto status = FetchJson(entry, "/status", {});
    if (!status) {
      std::cerr << "status: " << status.LastReason().mText << '\n';
      result = ExitStatus::kFailure;
      continue;
    }
    statuses.push_back(status.Take());
  }
  if (aJson) {
    std::cout << nlohmann::json(statuses).dump() << '\n';
    return result;
  }
  for (auto const& status : statuses) {
    PrintEntry(status);
  }
  PrintUpstreams(statuses);
  return result;
}

int
ExplainFlow(std::string const& aEntry,
            std::string const& aService,
            std::string const& aFlow,
            std::string const& aProtocol,
            bool aJson)
{
  auto const answer = FetchJson(
    aEntry,
    "/explain",
    { { "service", aService }, { "flow", aFlow }, { "protocol", aProtocol } });
  if (!answer) {
    std::cerr << "explain: " << answer.LastReason().mText << '\n';
    return answer.LastReason().mCode == ReasonCode::Invalid
             ? ExitStatus::kRefused
             : ExitStatus::kFailure;
  }
  if (aJson) {
    std::cout << answer->dump() << '\n';
    return ExitStatus::kOk;
  }
  std::cout << "flow " << aFlow << " of service " << aService << '\n'
            << "  pure choice: upstream " << answer->value("pure_choice", "")
            << ", which depends only on the flow and the steering base\n"
            << "  decided by:  " << JoinNames((*answer)["homes"])
            << " (the first home decides, the second is its standby)\n"
            << "  admitted by: " << answer->value("owner", "")
            << ", the admission owner of the pure choice\n"
            << "  candidates:  " << JoinNames((*answer)["candidates"])
            << " (tried in this order)\n";
  return ExitStatus::kOk;
}

} // namespace tarragonsill
