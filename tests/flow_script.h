/**
 * @file flow_script.h
 * Runs a flow core against a text script: lines that start with '>' are
 * events, the lines below each are the actions expected. Attempts, credits
 * and claims are named a1.., c1.., k1.. in order of appearance.
 *
 * Events: [@MS] req N PIPELINE [key=K] [dl=MS] [tok=T] [stream] [body=JSON];
 * gone N; bytes A; token A INDEX TEXT; done A STATUS BODY [start=S] [cold]
 * [warm] [leaving]; fail A FAULT [unsent]; probe E ok|dead [start=S]; claim K
 * STATE [STATUS [BODY]]; credit C ok|no [MS]; notice E cold|warm; suspect N;
 * fresh MS; snap ENDPOINT...; drain; tick. An endpoint is
 * POOL:ID@ZONE[!][-] (! cold, - unusable).
 */
#ifndef TESTS_FLOW_SCRIPT_H
#define TESTS_FLOW_SCRIPT_H

#include "flow/flow.h"

/** Fails the running test with both texts if they differ. */
void flow_script(enum flow_policy policy, const char *script);

/** The snapshot of an endpoint list, for tests without a script. */
struct snapshot *flow_script_snapshot(const char *endpoints);

#endif
