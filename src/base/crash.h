/**
 * @file crash.h
 * Logs the cause of a crash: signal, thread, the thread's last log event and a
 * backtrace. Frames are "MODULE(+OFFSET)"; addr2line -e MODULE OFFSET prints
 * the source line.
 */
#ifndef BASE_CRASH_H
#define BASE_CRASH_H

/** Installs handlers for the signals of faults and abort. The signal still
 * ends the process. */
void crash_init(void);

#endif
