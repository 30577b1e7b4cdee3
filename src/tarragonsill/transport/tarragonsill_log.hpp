#ifndef TARRAGONSILL_LOG_HPP_INCLUDED
#define TARRAGONSILL_LOG_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <string>

/// The log: short sentences, each with the fixed prefix of its part.
namespace tarragonsill {

/// Sets level and target; an empty file means standard error.
void ConfigureLog(std::string const& aLevel, std::string const& aFile);

/// Lines go to standard output as they are, each an object of its own.
void ConfigureStructuredLog();

void LogDebug(std::string const& aLine);
void LogInfo(std::string const& aLine);
void LogWarn(std::string const& aLine);
void LogError(std::string const& aLine);

} // namespace tarragonsill

#endif // TARRAGONSILL_LOG_HPP_INCLUDED
