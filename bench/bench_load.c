/* Measures attainment under load and faults for the full policy and for two
 * baseline policies. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/scenario.h"

static const char *const policies[] = {"full", "round_robin",
                                       "least_in_flight"};

static double
pct(int part, int whole)
{
    return whole ? 100.0 * part / whole : 100.0;
}

static void
print_result(const struct deploy *d, enum scenario s, int policy,
             const struct scenario_result *r)
{
    printf("%-8s %-10s %-15s %6.2f %6.2f | %6.1f %6.1f %6.1f | %6.1f %6.1f |"
           " %5.1f %4d %4lld %3lld %3d %3d %3d %3d\n",
           d->name, scenario_name(s), policies[policy],
           pct(r->attained, r->offered), 100 * r->bound,
           pct(r->class_attained[0], r->class_offered[0]),
           pct(r->class_attained[1], r->class_offered[1]),
           pct(r->class_attained[2], r->class_offered[2]),
           pct(r->team_attained[0], r->team_offered[0]),
           pct(r->team_attained[3], r->team_offered[3]),
           100 * r->retries_over_demand, r->late, (long long)r->cold_overloads,
           (long long)r->crashes, r->wrong, r->doubled_actions,
           r->false_not_run, r->pending);
}

static void
print_detail(const struct scenario_result *r)
{
    printf("  refused:");
    for (int k = 1; k < ERRKIND_COUNT; k++) {
        if (r->refused[k]) {
            printf(" %s=%d", errkind_info(k)->name, r->refused[k]);
        }
    }
    printf("\n  busy_s:");
    for (int p = 0; p < 7; p++) {
        printf(" %.0f", r->busy_s[p]);
    }
    printf(" first_token_p95_ms=%.0f\n", (double)r->first_token_p95_us / 1000);
}

static void
usage(FILE *to)
{
    fprintf(to, "usage: bench_load [-d board|utility] [-s SCENARIO] "
                "[-p POLICY] [-n SECONDS] [-r SEED] [-v]\n"
                "exit codes: 0 done, 1 a result was wrong, doubled, untrue "
                "or missing, 2 usage\n");
}

int
main(int argc, char **argv)
{
    const char *want_deploy = NULL;
    const char *want_scenario = NULL;
    const char *want_policy = NULL;
    int seconds = 30;
    uint64_t seed = 1;
    bool verbose = false;
    for (int i = 1; i < argc; i++) {
        const char *v = i + 1 < argc ? argv[i + 1] : "";
        if (strcmp(argv[i], "-v") == 0) {
            verbose = true;
            continue;
        }
        if (argv[i][0] != '-' || !argv[i][1] || !*v) {
            usage(stderr);
            return 2;
        }
        switch (argv[i++][1]) {
        case 'd':
            want_deploy = v;
            break;
        case 's':
            want_scenario = v;
            break;
        case 'p':
            want_policy = v;
            break;
        case 'n':
            seconds = atoi(v);
            break;
        case 'r':
            seed = (uint64_t)atoll(v);
            break;
        default:
            usage(stderr);
            return 2;
        }
    }
    printf("%-8s %-10s %-15s %6s %6s | %6s %6s %6s | %6s %6s | %5s %4s %4s "
           "%3s %3s %3s %3s %3s\n",
           "deploy", "scenario", "policy", "att%", "bound", "ask%", "act%",
           "bulk%", "big%", "small%", "rtry%", "late", "cold", "die", "wrg",
           "dbl", "unt", "pnd");
    struct buf figures = {0};
    int failures = 0;
    for (int k = 0; k < DEPLOY_COUNT; k++) {
        struct deploy d;
        deploy_init(&d, k);
        for (int s = 0; s < SCENARIO_COUNT; s++) {
            for (int p = 0; p < 3; p++) {
                struct scenario_result r;
                if ((want_deploy && strcmp(want_deploy, d.name) != 0) ||
                    (want_scenario &&
                     strcmp(want_scenario, scenario_name(s)) != 0) ||
                    (want_policy && strcmp(want_policy, policies[p]) != 0)) {
                    continue;
                }
                scenario_run(&d, s, p, seed, seconds, &r);
                print_result(&d, s, p, &r);
                if (verbose) {
                    print_detail(&r);
                }
                fflush(stdout);
                failures += p == 0 ? r.wrong + r.doubled_actions +
                                         r.false_not_run + r.pending
                                   : 0;
                buf_printf(&figures, "%s_%s_%s=%.2f ", d.name,
                           scenario_name(s), policies[p],
                           pct(r.attained, r.offered));
                if (p == 0) {
                    buf_printf(&figures, "%s_%s_bound=%.2f ", d.name,
                               scenario_name(s), 100 * r.bound);
                }
            }
        }
        deploy_free(&d);
    }
    printf("%s\n", figures.ptr ? figures.ptr : "");
    buf_free(&figures);
    return failures ? 1 : 0;
}
