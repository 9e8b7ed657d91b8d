// Package soak runs the real programs as processes on one machine, injects
// faults from outside, and checks what callers, upstreams and operators observe.
// Signals stop, pause and kill processes, which are then restarted or resumed.
// Forwarders on the connections delay or drop data and reset the connections. A
// torn write is appended to a replica's log. The faults are derived from a seed.
//
// The package cannot inject clock skew, since all processes use the clock of the
// machine, nor slow disks. The users of vanillapulley test these faults on their own test
// systems. Full disks are not part of the seeded plans: TestDisksOfProcessesFullInTurn
// limits the size of the files of control VMs in turn.
package soak
