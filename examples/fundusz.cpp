/** @file Prints the configuration of Fundusz Solidarności Strajkowej. */

#include "fundusz.h"

int main()
{
    return cove::ops::print_configuration(examples::fundusz());
}
