#ifndef TARRAGONSILL_LOAD_REPORT_MESSAGE_HPP_INCLUDED
#define TARRAGONSILL_LOAD_REPORT_MESSAGE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_load_report.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <tarragonsill_peer.pb.h>

/// Encodes and decodes load reports.
namespace tarragonsill {

/// A report with more upstreams is rejected.
constexpr std::size_t kMaxReportedLoads = 512;

wire::LoadReport ToWire(LoadReport const& aReport);

/// Fails with `Invalid` if the lists differ in length or are too long. Values
/// that no VM observes are limited to those that one may.
Result<LoadReport> ReadLoadReport(wire::LoadReport const& aMessage);

} // namespace tarragonsill

#endif // TARRAGONSILL_LOAD_REPORT_MESSAGE_HPP_INCLUDED
