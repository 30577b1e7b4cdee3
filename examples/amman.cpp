#include "deployments.hpp"

#include <iostream>

/// Prints the Amman deployment for `tarragonsill apply`.
int
main()
{
  auto const text = tarragonsill::Examples::AmmanDeployment().ToYaml();
  if (!text) {
    std::cerr << text.LastReason().mText << '\n';
    return 1;
  }
  std::cout << *text;
  return 0;
}
