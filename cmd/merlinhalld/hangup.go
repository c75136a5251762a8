package main

// SIGHUP requests a reload of the settings, but would end the process if it arrived
// while packages are being initialised, which takes some milliseconds on a fraction of
// a core. A C constructor therefore ignores it from program load until serveHosted
// calls signal.Notify.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
