/**
 * @file feed_text.h
 * Records of the store as plain text: a version, or "SERVICE STATE COLD_MS
 * BORN"; keys "o/config", "o/zone/ZONE", "e/ENDPOINT" and "n/NODE".
 */
#ifndef TESTS_FEED_TEXT_H
#define TESTS_FEED_TEXT_H

#include "control/feed.h"

extern const struct feed_codec feed_text_codec;

#endif
