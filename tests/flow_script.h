/**
 * @file flow_script.h
 * Runs a flow core against a text script. A line that starts with '>' is an
 * event; the lines below it are the actions that the core must return for it.
 * Attempts, credits and claims are named a1.., c1.., k1.. in order of
 * appearance; request N is rN. @MS sets the time of an event in ms and runs
 * the timers that are due before it; otherwise the time stays the same.
 *
 * Events: [@MS] req N PIPELINE [key=K] [dl=MS] [tok=T] [stream] [body=JSON];
 * gone N; bytes A; token A INDEX TEXT; done A STATUS BODY [start=S] [cold]
 * [warm] [leaving]; fail A FAULT [unsent]; probe E ok|dead [start=S]; claim K
 * STATE [STATUS [BODY]]; credit C ok|no [MS]; notice E cold|warm
 * [start=S]; suspect N; fresh MS; snap ENDPOINT...; drain; tick. E is the id
 * of an endpoint, dl the deadline in ms, tok the token, S the start id. The N
 * of suspect is a number of strikes. "fresh MS" allows new work until that
 * time. An ENDPOINT is POOL:ID@ZONE[!][-] (! cold, - out of service).
 *
 * Actions: call A rN STAGE E [final] [fresh]; cancel A; probe E;
 * token rN INDEX TEXT; answer rN; refuse rN KIND RAN;
 * open|claim|done|abandon K [STATUS BODY]; credit C E;
 * release C [used] [ok] [warm|cold]; cold E IN_FLIGHT [detected];
 * suspect STRIKES. "final" stands for the deadline check right before sending,
 * "fresh" for a new connection.
 */
#ifndef TESTS_FLOW_SCRIPT_H
#define TESTS_FLOW_SCRIPT_H

#include "flow/flow.h"

/** Runs @p script; fails the running test and prints both texts if the actions
 * differ. */
void flow_script(enum flow_policy policy, const char *script);

/** Builds a snapshot of the endpoints, listed as in "snap"; the caller owns
 * the reference. */
struct snapshot *flow_script_snapshot(const char *endpoints);

#endif
