/**
 * @file feed_text.h
 * A codec for tests that reads the store's records as plain text: a
 * configuration is its version, an endpoint is "SERVICE STATE COLD_MS BORN".
 * The keys are "o/config", "o/zone/ZONE", "e/ENDPOINT" and "n/NODE".
 */
#ifndef TESTS_FEED_TEXT_H
#define TESTS_FEED_TEXT_H

#include "control/feed.h"

extern const struct feed_codec feed_text_codec;

#endif
