#include <stdio.h>

#include "cli/cli.h"

int
main(int argc, char **argv)
{
    return cli_run(argc, argv, (struct cli_io){stdin, stdout, stderr});
}
