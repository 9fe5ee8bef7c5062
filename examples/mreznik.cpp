/** @file Prints the configuration of Mrežnik Inšpekcije. */

#include "mreznik.h"

int main()
{
    return cove::ops::print_configuration(examples::mreznik());
}
