// Package measure measures what endivehill costs: it runs cells of several
// sizes on loopback, with the stand-ins of the platform in this process, and
// takes the processor time, memory, messages and bytes of each node. Fits of
// those figures over the size are what docs/CAPACITY.md is worked out from.
package measure
