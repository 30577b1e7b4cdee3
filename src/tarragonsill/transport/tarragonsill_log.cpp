#include "tarragonsill/transport/tarragonsill_log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace tarragonsill {

namespace {

log4cxx::LoggerPtr const&
ProjectLogger()
{
  static log4cxx::LoggerPtr const sLogger =
    log4cxx::Logger::getLogger("tarragonsill");
  return sLogger;
}

} // namespace

void
ConfigureLog(std::string const& aLevel, std::string const& aFile)
{
  auto const layout = std::make_shared<log4cxx::PatternLayout>(
    LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
  auto const root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  if (aFile.empty()) {
    auto const appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
    root->addAppender(appender);
  } else {
    log4cxx::LogString name;
    log4cxx::helpers::Transcoder::decode(aFile, name);
    root->addAppender(
      std::make_shared<log4cxx::FileAppender>(layout, name, true));
  }
  root->setLevel(log4cxx::Level::toLevel(aLevel));
}

void
ConfigureStructuredLog()
{
  auto const layout =
    std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  auto const root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
    layout, log4cxx::ConsoleAppender::getSystemOut()));
  root->setLevel(log4cxx::Level::getInfo());
}

void
LogDebug(std::string const& aLine)
{
  LOG4CXX_DEBUG(ProjectLogger(), aLine);
}

void
LogInfo(std::string const& aLine)
{
  LOG4CXX_INFO(ProjectLogger(), aLine);
}

void
LogWarn(std::string const& aLine)
{
  LOG4CXX_WARN(ProjectLogger(), aLine);
}

void
LogError(std::string const& aLine)
{
  LOG4CXX_ERROR(ProjectLogger(), aLine);
}

} // namespace tarragonsill
