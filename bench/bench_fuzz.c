/* Runs fuzz plans for a range of seeds, prints the reduced plans of failing
 * seeds and the matrix of overlapping fault pairs. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/fuzz.h"

static void
usage(void)
{
    fprintf(stderr,
            "usage: bench_fuzz [-s FIRST_SEED] [-n SEEDS] [-t SECONDS] [-m]\n"
            "  -t  run new seeds for this long instead of a fixed count\n"
            "  -m  print the matrix of fault pairs\n"
            "exit codes: 0 no violation, 1 violation, 2 usage\n");
}

static void
print_matrix(int matrix[FAULT_COUNT][FAULT_COUNT])
{
    int missing = 0;
    printf("pairs of faults that overlapped:\n");
    for (int a = 0; a < FAULT_COUNT; a++) {
        printf("%-19s", fault_name(a));
        for (int b = 0; b < FAULT_COUNT; b++) {
            if (b < a) {
                printf("    ");
                continue;
            }
            printf(" %3d", matrix[a][b]);
            missing += matrix[a][b] == 0;
        }
        printf("\n");
    }
    printf("pairs=%d missing=%d\n", FAULT_PAIR_COUNT, missing);
}

static bool
run_seed(uint64_t seed, struct fuzz_result *r)
{
    struct fuzz_plan p;
    fuzz_generate_plan(seed, &p);
    if (fuzz_run_plan(&p, r)) {
        return true;
    }
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        if (r->violations[i]) {
            fuzz_shrink_plan(&p, i);
            break;
        }
    }
    fuzz_print_failure(&p, r);
    printf("  replay: bench_fuzz -s %" PRIu64 " -n 1\n", seed);
    return false;
}

int
main(int argc, char **argv)
{
    uint64_t first_seed = 0;
    int count = FAULT_PAIR_COUNT;
    int seconds = 0;
    bool matrix_wanted = false;
    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], "-m") == 0) {
            matrix_wanted = true;
        }
        else if (i + 1 < argc && strcmp(argv[i], "-s") == 0) {
            first_seed = strtoull(argv[++i], NULL, 10);
        }
        else if (i + 1 < argc && strcmp(argv[i], "-n") == 0) {
            count = atoi(argv[++i]);
        }
        else if (i + 1 < argc && strcmp(argv[i], "-t") == 0) {
            seconds = atoi(argv[++i]);
        }
        else {
            usage();
            return 2;
        }
    }
    static int matrix[FAULT_COUNT][FAULT_COUNT];
    time_t end_time = time(NULL) + seconds;
    int failed = 0;
    int runs = 0;
    int64_t requests = 0;
    int64_t answered = 0;
    for (uint64_t seed = first_seed;
         seconds ? time(NULL) < end_time : runs < count; seed++, runs++) {
        struct fuzz_plan p;
        struct fuzz_result r;
        fuzz_generate_plan(seed, &p);
        fuzz_count_pairs(&p, matrix);
        failed += !run_seed(seed, &r);
        requests += r.requests;
        answered += r.answered;
        fflush(stdout);
    }
    if (matrix_wanted) {
        print_matrix(matrix);
    }
    printf("seeds=%d failed=%d requests=%" PRId64 " answered=%" PRId64 "\n",
           runs, failed, requests, answered);
    return failed ? 1 : 0;
}
