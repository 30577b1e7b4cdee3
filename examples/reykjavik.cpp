#include "deployments.hpp"

#include <iostream>

/// Prints the Reykjavik deployment for `tarragonsill apply`.
int
main()
{
  auto const text = tarragonsill::Examples::ReykjavikDeployment().ToYaml();
  if (!text) {
    std::cerr << text.LastReason().mText << '\n';
    return 1;
  }
  std::cout << *text;
  return 0;
}
