package main

// Before main runs, the packages are initialised, which takes some milliseconds on
// a part of a core. A hang-up signal in that time, which asks for nothing but
// another look at the settings, would end the process. It is ignored from the
// loading of the program on, until main asks for it.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
