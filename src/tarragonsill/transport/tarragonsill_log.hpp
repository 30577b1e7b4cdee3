#ifndef TARRAGONSILL_LOG_HPP_INCLUDED
#define TARRAGONSILL_LOG_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <string>

/// The process log. Lines are short sentences that start with a fixed prefix of
/// the component, for instance `config:`.
namespace tarragonsill {

/// Sets the log level and the file; an empty name selects standard error.
void ConfigureLog(std::string const& aLevel, std::string const& aFile);

/// Writes lines unchanged to standard output, for structured logs with one JSON
/// object per line.
void ConfigureStructuredLog();

void LogDebug(std::string const& aLine);
void LogInfo(std::string const& aLine);
void LogWarn(std::string const& aLine);
void LogError(std::string const& aLine);

} // namespace tarragonsill

#endif // TARRAGONSILL_LOG_HPP_INCLUDED
