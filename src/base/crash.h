/**
 * @file crash.h
 * Says in the log why a process ended: signal, thread, the thread's last event
 * and a backtrace. Frames are "MODULE(+OFFSET)"; addr2line -e MODULE OFFSET
 * names the line.
 */
#ifndef BASE_CRASH_H
#define BASE_CRASH_H

/** Handles the signals of faults and abort. The process still ends by the
 * signal. */
void crash_init(void);

#endif
