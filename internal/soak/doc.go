// Package soak runs the real programs as processes on one machine, injects
// faults from outside them, and checks what callers, upstreams and operators
// see: signals stop, pause, kill and restart processes; forwarders on every
// connection delay, reset or silence it; a log file ends in an unfinished
// write. A seed decides the faults.
//
// What it cannot inject: wrong clocks (all processes read the machine's) and
// full or slow disks; the users' bench does.
package soak
